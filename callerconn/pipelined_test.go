package callerconn

import (
	"net/http"
	"testing"
	"time"
)

// TestClosingIdleDoesNotCancelRequestThatArrivedWithTheOneBefore guards against a request that is cancelled because its bytes
// were read together with the request before, so that its connection counts as idle while it is served.
func TestClosingIdleDoesNotCancelRequestThatArrivedWithTheOneBefore(t *testing.T) {
	closings := map[string]func(*Tracker){
		"idle for too long": func(t *Tracker) { t.CloseIdle(time.Nanosecond, time.Now().Add(time.Minute)) },
		"stop":              func(t *Tracker) { t.CloseWhenIdle() },
	}
	for name, closeConnections := range closings {
		t.Run(name, func(t *testing.T) {
			f := newSlowFixture(t, 300*time.Millisecond, time.Second)
			f.write(t, fastRequest+slowRequest)
			f.expectStatus(t, "first request", http.StatusNoContent)
			<-f.begun
			if got := f.tracker.OpenRequests(); got != 1 {
				t.Errorf("got %d open requests while one is served, want 1", got)
			}
			closeConnections(f.tracker)
			f.expectStatus(t, "request that is served", http.StatusNoContent)
		})
	}
}

// TestPipelinedRequestMayLastLongerThanItsFirstBytesMay guards against a deadline for the first bytes that goes on while a
// request is served.
func TestPipelinedRequestMayLastLongerThanItsFirstBytesMay(t *testing.T) {
	f := newSlowFixture(t, firstBytesTimeout+300*time.Millisecond, time.Second)
	f.write(t, fastRequest+slowRequest)
	f.expectStatus(t, "first request", http.StatusNoContent)
	f.expectStatus(t, "request that is served", http.StatusNoContent)
}
