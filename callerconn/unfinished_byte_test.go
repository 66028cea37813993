package callerconn

import (
	"net/http"
	"testing"
	"time"
)

// TestConnectionWithAnUnfinishedFirstByteIsClosed guards against callers that hold a kept connection for ever with one byte,
// for which net/http sets no deadline: it does so from the fourth byte on.
func TestConnectionWithAnUnfinishedFirstByteIsClosed(t *testing.T) {
	f := newSlowFixture(t, 0, 200*time.Millisecond)
	f.write(t, fastRequest)
	f.expectStatus(t, "first request", http.StatusNoContent)
	f.write(t, "G")
	time.Sleep(100 * time.Millisecond)
	// The header timeout is 200 ms; the idle timeout passes every 50 ms.
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end) && f.tracker.Count() > 0; time.Sleep(50 * time.Millisecond) {
		f.tracker.CloseIdle(time.Nanosecond, time.Now().Add(time.Minute))
	}
	if got := f.tracker.Count(); got != 0 {
		t.Errorf("got %d open connections 2 s after an unfinished byte, want 0", got)
	}
}
