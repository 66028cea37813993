package reverseproxy

import (
	"context"
	"time"

	"bergamotpin.example/bergamotpin/callerconn"
	"bergamotpin.example/bergamotpin/outcome"
)

// lateReadFraction is the part of the time from end.since to end.cut in which a request that began
// to arrive before may still come whole. The rest of that time is for its server.
const lateReadFraction = 0.25

// end is the end of the instance: it cuts the requests that are open at the time cut, and begins
// none after the time since that may last longer.
type end struct{ since, cut time.Time }

// readBy is the time by which a request that began to arrive before end.since must have come whole.
func (e *end) readBy() time.Time {
	return e.since.Add(time.Duration(lateReadFraction * float64(e.cut.Sub(e.since))))
}

// EndAt has requests refused that begin to arrive after since, or come whole long after, and may
// last beyond cut, when the instance cuts those that are open. A refused request did not run, so
// its caller can take it to another instance. Those that begin after since come on connections
// whose last response began before the instance could announce that it leaves.
func (h *Handler) EndAt(since, cut time.Time) { h.end.Store(&end{since, cut}) }

// refuseTooLate refuses a request, which has just come whole, if it may outlive the instance.
func (h *Handler) refuseTooLate(ctx context.Context, req *request) *refusal {
	e := h.end.Load()
	if e == nil || !req.deadline.After(e.cut) {
		return nil
	}
	began, known := callerconn.RequestBegan(ctx)
	if known && !began.After(e.since) && time.Now().Before(e.readBy()) {
		return nil
	}
	return refuseNotRun(outcome.InstanceLeaving, retrySoon)
}
