package chaos

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// silentTransport is a transport that never responds. RoundTrip returns an
// error when the request is cancelled.
type silentTransport struct{}

func (silentTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// TestOnlyRequestsPastTheRecoveryTimeoutAreOverdue checks that a request counts
// as overdue if it is cancelled RecoveryTimeout after it was sent, and not if
// it is cancelled a second earlier.
func TestOnlyRequestsPastTheRecoveryTimeoutAreOverdue(t *testing.T) {
	tests := map[time.Duration]int64{
		RecoveryTimeout - time.Second: 0,
		RecoveryTimeout:               1,
	}
	for timeout, want := range tests {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			counter := &overdueCounter{next: silentTransport{}}
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://10.0.0.1/", nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := counter.RoundTrip(request); err == nil {
				t.Error("answered")
			}
			if got := counter.count.Load(); got != want {
				t.Errorf("request cancelled after %v: overdue count %d, want %d", timeout, got, want)
			}
		})
	}
}
