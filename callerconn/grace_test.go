package callerconn

import (
	"net/http"
	"testing"
	"time"
)

// closeAll calls each function that closes connections.
func closeAll(t *Tracker) {
	t.CloseIdle(time.Nanosecond, time.Now().Add(time.Minute))
	t.CloseWhenIdle()
	t.CloseUnused()
}

// expireAll ends each connection at the given time, unless a request begins before.
func expireAll(t *Tracker, at time.Time) {
	for _, caller := range t.all() {
		caller.expire(at)
	}
}

// keptFixture returns a fixture whose connection has carried a request and counts as idle.
func keptFixture(t *testing.T, delay, headerTimeout time.Duration) *slowFixture {
	t.Helper()
	f := newSlowFixture(t, delay, headerTimeout)
	f.write(t, fastRequest)
	f.expectStatus(t, "first request", http.StatusNoContent)
	awaitCount(t, "open requests", 0, f.tracker.OpenRequests)
	return f
}

func (f *slowFixture) expectEnd(t *testing.T, within time.Duration) {
	t.Helper()
	_ = f.conn.SetReadDeadline(time.Now().Add(within))
	if _, err := f.reader.ReadByte(); err == nil || isTimeout(err) {
		t.Errorf("got error %v, want the end of the connection", err)
	}
}

// awaitCount waits until count returns the given number.
func awaitCount(t *testing.T, label string, want int, count func() int) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); count() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("got %d %s, want %d", count(), label, want)
		}
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(interface{ Timeout() bool })
	return ok && timeout.Timeout()
}

// TestServedRequestOutlivesTheGrace guards against a request that is cancelled because its connection was closed while it was
// served, as soon as the grace for idle and unused connections has passed.
func TestServedRequestOutlivesTheGrace(t *testing.T) {
	f := keptFixture(t, 2*unusedGrace, time.Second)
	f.write(t, slowRequest)
	<-f.begun
	closeAll(f.tracker)
	f.expectStatus(t, "request that is served", http.StatusNoContent)
}

// TestRequestThatIsReadSlowlyOutlivesTheGrace guards against a request whose connection is closed while its header is read, as
// soon as the grace for idle and unused connections has passed.
func TestRequestThatIsReadSlowlyOutlivesTheGrace(t *testing.T) {
	f := keptFixture(t, 0, 5*time.Second)
	f.write(t, fastRequest[:10])
	awaitCount(t, "open requests", 1, f.tracker.OpenRequests)
	closeAll(f.tracker)
	time.Sleep(2 * unusedGrace)
	f.write(t, fastRequest[10:])
	f.expectStatus(t, "request that was being read", http.StatusNoContent)
}

// TestRequestThatBeginsWithinTheGraceIsAnswered guards against a request that begins within the grace and is cut at its end.
func TestRequestThatBeginsWithinTheGraceIsAnswered(t *testing.T) {
	f := newSlowFixture(t, 0, 5*time.Second)
	awaitCount(t, "open connections", 1, f.tracker.Count)
	end := time.Now().Add(time.Second)
	expireAll(f.tracker, end)
	f.write(t, fastRequest[:10])
	time.Sleep(time.Until(end) + 100*time.Millisecond)
	f.write(t, fastRequest[10:])
	f.expectStatus(t, "request that began within the grace", http.StatusNoContent)
}

// TestStopEndsIdleConnection guards against a stop that waits for callers that send nothing more.
func TestStopEndsIdleConnection(t *testing.T) {
	f := keptFixture(t, 0, time.Second)
	f.tracker.CloseWhenIdle()
	f.expectEnd(t, 2*time.Second)
}

// TestStopEndsConnectionAfterItsRequest guards against a stop that waits for callers whose response began before it.
func TestStopEndsConnectionAfterItsRequest(t *testing.T) {
	f := keptFixture(t, 200*time.Millisecond, time.Second)
	f.write(t, slowRequest)
	<-f.begun
	f.tracker.CloseWhenIdle()
	f.expectStatus(t, "request beside the stop", http.StatusNoContent)
	f.expectEnd(t, 2*time.Second)
}

// TestRequestThatCrossesTheEndOfTheGraceIsNotHandledUnanswered guards against a request that is handled and gets no answer,
// because it arrived just as the grace of its connection ended.
func TestRequestThatCrossesTheEndOfTheGraceIsNotHandledUnanswered(t *testing.T) {
	const rounds = 2000
	if n := countUnanswered(t, rounds, func(t *Tracker) { expireAll(t, time.Now()) }); n > 0 {
		t.Errorf("%d of %d requests were handled and got no answer, want none", n, rounds)
	}
}
