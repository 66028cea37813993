package hedging

import "time"

// Result is how a second attempt ended.
type Result uint8

// Results of second attempts.
const (
	// Won means that the second server answered first.
	Won Result = iota
	// Lost means that the first server answered first, or that the request ended before.
	Lost
	// Failed means that the second server failed or refused the request.
	Failed

	resultCount
)

// String returns the name used in logs and metrics.
func (r Result) String() string { return [resultCount]string{"won", "lost", "failed"}[r] }

// Counts are the second attempts since the instance's start.
type Counts struct {
	Begun   int64
	Results [resultCount]int64
	// Refused counts the requests whose answer was slow and that got no second attempt at
	// the first look, by reason. NotLearnt counts all sends for which no delay was known.
	Refused [reasonCount]int64
	// WastedTokens are the prompt tokens that the losing servers presumably read, and
	// WastedTime is how long they were at work.
	WastedTokens int64
	WastedTime   time.Duration
}

// Waste is the work of an attempt whose answer nobody needs.
type Waste struct {
	PromptTokens int
	Time         time.Duration
}

// CountBegun counts a second attempt that began.
func (c *Controller) CountBegun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Begun++
}

// CountResult counts how a second attempt ended, and the work that was in vain.
func (c *Controller) CountResult(r Result, w Waste) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Results[r]++
	c.counts.WastedTokens += int64(w.PromptTokens)
	c.counts.WastedTime += w.Time
}

// Counts returns the current counts.
func (c *Controller) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// Reasons returns the reasons for which a second attempt may be refused.
func Reasons() []Reason {
	return []Reason{NotLearnt, LimitReached, FleetSlow, ServersFull, PromptTooLong, NoGain, NoBudget, NoServer, CrashSuspect}
}

// Results returns all results.
func Results() []Result { return []Result{Won, Lost, Failed} }
