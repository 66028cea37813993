package crashguard

import "time"

const (
	// An answered part is remembered for one to two spans of answeredSpan, so that a part
	// which turns bad later is found.
	answeredSpan = 2 * time.Minute
	// maxAnswered bounds the parts that are remembered of one span.
	maxAnswered = 1000
)

// answeredKeys is a bounded memory of the parts or requests that were answered lately, in two
// generations. The zero value is empty.
type answeredKeys struct {
	current, previous map[uint64]struct{}
	// began is when the current generation began.
	began time.Time
}

func (a *answeredKeys) add(part uint64, now time.Time) {
	a.expire(now)
	if _, known := a.current[part]; known {
		return
	}
	if len(a.current) >= maxAnswered {
		a.rotate(now)
	}
	a.current[part] = struct{}{}
}

func (a *answeredKeys) has(part uint64, now time.Time) bool {
	a.expire(now)
	if _, ok := a.current[part]; ok {
		return true
	}
	_, ok := a.previous[part]
	return ok
}

// expire begins a new generation if the current one is old.
func (a *answeredKeys) expire(now time.Time) {
	age := now.Sub(a.began)
	if a.current != nil && age < answeredSpan {
		return
	}
	a.rotate(now)
	if age >= 2*answeredSpan {
		a.previous = nil
	}
}

func (a *answeredKeys) rotate(now time.Time) {
	a.previous, a.current, a.began = a.current, make(map[uint64]struct{}), now
}
