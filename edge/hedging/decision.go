package hedging

// A second attempt helps a caller whose server is slower than others would be, and harms all
// others if the servers have no room for it. This file weighs the two for one request.

import "time"

// Reason says why there is a second attempt, or none.
type Reason uint8

// Reasons of a decision.
const (
	// Hedge means that a second attempt begins.
	Hedge Reason = iota
	// TooEarly means that the answer isn't among the slowest yet.
	TooEarly
	// NotLearnt means that too few answers are known to tell which are slow.
	NotLearnt
	// LimitReached means that the operators' share is used up.
	LimitReached
	// FleetSlow means that the servers as a whole are slow.
	FleetSlow
	// ServersFull means that the servers have little room or much waiting work.
	ServersFull
	// PromptTooLong means that the second server would have to read too much of the prompt.
	PromptTooLong
	// NoGain means that the second server would presumably answer no sooner.
	NoGain
	// NoBudget means that over half of the retries that all instances share are spent.
	NoBudget
	// NoServer means that no other server takes the request.
	NoServer
	// CrashSuspect means that a server ended lately under the request or a part of its prompt.
	CrashSuspect

	reasonCount
)

// String returns the name used in logs and metrics.
func (r Reason) String() string {
	names := [reasonCount]string{
		"hedge", "too_early", "not_learnt", "limit", "fleet_slow", "servers_full", "prompt_too_long", "no_gain", "budget", "no_server", "crash_suspect",
	}
	if r < reasonCount {
		return names[r]
	}
	return "invalid"
}

const (
	// minDelay is the shortest delay before a second attempt. Within it, a difference
	// between two servers is not worth the work of both.
	minDelay = 40 * time.Millisecond
	// targetFraction is the fraction of the latency target that must have passed. An answer
	// that comes sooner is on time by far, however slow it is for its kind.
	targetFraction = 0.25
	// secondFactor is how many times the usual delay is left for the second attempt, if it is
	// to be on time. Before that, most answers still come from the first server in time.
	secondFactor = 2
	// minQuantile and maxQuantile bound the quantile of delays after which a second attempt
	// begins. It is 1 less the operators' share, so that the share goes to the slowest.
	minQuantile = 0.9
	maxQuantile = 0.99
	// lookAgainFraction is the part of the time so far that passes before the next look, after
	// a decision against a second attempt that may change. So there are few looks while many
	// requests are slow. minLookAgain bounds it.
	lookAgainFraction = 0.5
	minLookAgain      = 25 * time.Millisecond
)

// quantileFor returns the quantile of delays after which a second attempt begins.
func quantileFor(share float64) float64 { return min(max(1-share, minQuantile), maxQuantile) }

// delayFor returns the delay after which a second attempt begins, from the learnt one, the
// usual one and the latency target.
func delayFor(learnt, usual, target time.Duration) time.Duration {
	return max(learnt, target-secondFactor*usual, time.Duration(targetFraction*float64(target)), minDelay)
}

// Facts are what the decision on one request needs, apart from the servers' load.
type Facts struct {
	// Elapsed is the time since the send to the first server.
	Elapsed time.Duration
	// Delay is the time after which the answer is among the slowest, if Learnt is set.
	Delay  time.Duration
	Learnt bool
	// FleetSlow is set if the servers as a whole are slow.
	FleetSlow bool
	// WithinLimit is set if the operators' share allows one more second attempt.
	WithinLimit bool
}

// Decision is whether a second attempt begins now. If not, LookAgain is when to ask again; 0
// means never.
type Decision struct {
	Reason    Reason
	LookAgain time.Duration
}

// Decide decides whether a request gets a second attempt now, if a server has room for it.
func Decide(f Facts) Decision {
	switch {
	case !f.Learnt:
		return Decision{Reason: NotLearnt}
	case f.Elapsed < f.Delay:
		return Decision{TooEarly, f.Delay - f.Elapsed}
	case f.FleetSlow:
		return Decision{FleetSlow, lookAgain(f.Elapsed)}
	case !f.WithinLimit:
		return Decision{LimitReached, lookAgain(f.Elapsed)}
	}
	return Decision{Hedge, lookAgain(f.Elapsed)}
}

func lookAgain(elapsed time.Duration) time.Duration {
	return max(time.Duration(lookAgainFraction*float64(elapsed)), minLookAgain)
}

const (
	// roomFraction is the fraction of the places at the servers, and of the memory of the
	// second one, up to which there is room for second attempts.
	roomFraction = 0.7
	// maxBacklog is the servers' mean time for the prompts that wait, up to which there is
	// room. Engines that keep up with long prompts stay below it.
	maxBacklog = 300 * time.Millisecond
	// maxPromptTokens is how much of a prompt the second server may have to read. While it
	// reads, the streams that it runs pause between their events.
	maxPromptTokens = 8192
)

// Load describes the server that would get the second attempt, and all that may get it.
type Load struct {
	// Running and Slots are sums over all servers that may get the second attempt.
	// MeanBacklog is the mean time in which they read the prompts that wait.
	Running, Slots int
	MeanBacklog    time.Duration
	// SecondRunning and SecondSlots are those of the second server. SecondMemory is the
	// fraction of its memory that is in use.
	SecondRunning, SecondSlots int
	SecondMemory               float64
	// SecondPrompt is the number of prompt tokens that it doesn't hold.
	SecondPrompt int
	// SecondDelay is the delay of the answer there, as far as it can be told.
	SecondDelay time.Duration
}

// Judge decides whether the servers have room for a second attempt that begins after the given
// delay, and whether it would help. It returns Hedge if so.
func Judge(l Load, delay time.Duration) Reason {
	switch {
	case isFull(l.Running, l.Slots), isFull(l.SecondRunning, l.SecondSlots), l.SecondMemory > roomFraction, l.MeanBacklog > maxBacklog:
		return ServersFull
	case l.SecondPrompt > maxPromptTokens:
		return PromptTooLong
	case l.SecondDelay > delay:
		return NoGain
	}
	return Hedge
}

// isFull reports whether too many of the places are taken. Servers that state no places have
// room.
func isFull(running, slots int) bool {
	return slots > 0 && float64(running) > roomFraction*float64(slots)
}
