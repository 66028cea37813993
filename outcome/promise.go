package outcome

import "net/http"

// PromisesNotRun reports whether an HTTP status tells a caller that its request did not run and never
// will, so that it may send the request again. Such a status goes to a caller only if no server
// can have run the request: if nothing was sent, or if all servers stated it by more than the status.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
