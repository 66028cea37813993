package usage

import (
	"slices"
	"sync"
	"time"
)

// maxOffsetAge is how long the last offset that was learnt of a peer counts.
const maxOffsetAge = 5 * time.Second

// Clock estimates true time as the median of the times of day of this instance and its peers, so
// that it holds while some of them jump by seconds. It is safe for concurrent use.
type Clock struct {
	start time.Time
	// suspendedTime returns for how long the machine has been suspended so far, which the
	// monotonic clock does not count.
	suspendedTime func() time.Duration
	// timeOfDay returns this instance's time of day as Unix time.
	timeOfDay func(now time.Time) time.Duration

	mu        sync.Mutex
	suspended time.Duration
	offsets   map[uint64]offset
	// median is what is added to the time since start to get Unix time.
	median time.Duration
}

// offset is the difference between a peer's time of day and the time since this clock's start.
type offset struct {
	value time.Duration
	at    time.Time
}

// NewClock returns a clock that goes by this instance's time of day.
func NewClock(suspendedTime func() time.Duration, now time.Time) *Clock {
	c := &Clock{start: now, suspendedTime: suspendedTime, timeOfDay: unixTime, offsets: make(map[uint64]offset)}
	c.Refresh(now)
	return c
}

func unixTime(now time.Time) time.Duration { return time.Duration(now.UnixNano()) }

// Observe takes in the time of day of a peer, in Unix milliseconds, as it was when the peer's
// message arrived.
func (c *Clock) Observe(peer uint64, unixMs int64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offsets[peer] = offset{value: time.Duration(unixMs)*time.Millisecond - c.elapsed(now), at: now}
}

// Refresh takes in this instance's own time of day, and drops what is too old. It must be called
// several times a second.
func (c *Clock) Refresh(now time.Time) {
	suspended := c.suspendedTime()
	c.mu.Lock()
	defer c.mu.Unlock()
	// Offsets from before a suspension still hold, since elapsed counts it from now on.
	c.suspended = suspended
	own := c.timeOfDay(now) - c.elapsed(now)
	values := make([]time.Duration, 0, len(c.offsets)+1)
	values = append(values, own)
	for peer, o := range c.offsets {
		if now.Sub(o.at) > maxOffsetAge {
			delete(c.offsets, peer)
			continue
		}
		values = append(values, o.value)
	}
	slices.Sort(values)
	middle := len(values) / 2
	c.median = values[middle]
	if len(values)%2 == 0 {
		c.median = values[middle-1] + (values[middle]-values[middle-1])/2
	}
}

// elapsed returns the time since the clock's start, with what the machine was suspended.
func (c *Clock) elapsed(now time.Time) time.Duration { return now.Sub(c.start) + c.suspended }

// Unix returns true time as the time since the start of 1970.
func (c *Clock) Unix(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.elapsed(now) + c.median
}

// Deviation returns by how much this instance's time of day is ahead of true time.
func (c *Clock) Deviation(now time.Time) time.Duration {
	return c.timeOfDay(now) - c.Unix(now)
}
