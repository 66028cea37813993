package serve

import (
	"net/http"
	"sync"
)

// openRequests counts the callers' requests whose handlers are running. It is
// needed because http.Server.Close does not wait for handlers.
type openRequests struct {
	mu      sync.Mutex
	count   int
	closed  bool
	drained chan struct{} // closed when count reaches zero after closeAndWait was called
}

func newOpenRequests() *openRequests { return &openRequests{drained: make(chan struct{})} }

// countRequests returns a handler that counts the requests that next serves.
// After closeAndWait was called, the returned handler aborts the connection of
// each new request.
func (o *openRequests) countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !o.begin() {
			panic(http.ErrAbortHandler)
		}
		defer o.end()
		next.ServeHTTP(w, r)
	})
}

func (o *openRequests) begin() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return false
	}
	o.count++
	return true
}

func (o *openRequests) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.count--
	if o.closed && o.count == 0 {
		close(o.drained)
	}
}

// closeAndWait admits no further request and returns once the running requests
// have ended. It must be called only once.
func (o *openRequests) closeAndWait() {
	o.mu.Lock()
	o.closed = true
	none := o.count == 0
	o.mu.Unlock()
	if !none {
		<-o.drained
	}
}
