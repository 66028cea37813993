package schedcore

import (
	"math"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// poolEstimates holds what was learned over all servers of the pool.
type poolEstimates struct {
	tokenGap    decayingMean // seconds between tokens
	firstToken  decayingLine // seconds to the first token, by prompt tokens to compute
	slotSeconds decayingMean // seconds for which a request holds a slot
}

const (
	// answerLengthQuantile is the quantile of a class's answer lengths that is
	// taken as the expected length of an answer.
	answerLengthQuantile = 0.5
	// deviationFactor is multiplied by the mean deviation of the time to the
	// first token. The product is added to the expected time, to allow for
	// requests that are slower than average.
	deviationFactor = 3
	// defaultSlotSeconds is the assumed time for which a request holds a
	// slot, before any is measured.
	defaultSlotSeconds = 1.0
	// defaultAnswerTokens is the assumed answer length before any is
	// measured.
	defaultAnswerTokens = 128
	// minWaitShare is the least share of a class's target that a request may
	// spend waiting, even if its own work takes longer than the target.
	minWaitShare = 0.25
)

// remainingAnswerTokens estimates how many tokens are still to be generated,
// from the q-quantile of the class's answer lengths.
func (c *Core) remainingAnswerTokens(r *request, q float64) int {
	n := c.classes[r.class].answerLengths.quantile(q)
	if r.ticket.MaxTokens > 0 {
		n = min(n, r.ticket.MaxTokens)
	}
	return max(n-r.deliveredTokens, 0)
}

// firstTokenSeconds estimates the time from a grant to the first token, on
// the server that has the most of the prompt cached.
func (c *Core) firstTokenSeconds(r *request) float64 {
	longestCached := 0
	for _, h := range c.prefixes.holders(r.ticket.Prefix) {
		longestCached = max(longestCached, cachedTokens(&r.ticket, h, c.now))
	}
	promptTokens := float64(r.ticket.PromptTokens + r.deliveredTokens - longestCached)
	return c.estimates.firstToken.predict(promptTokens) + deviationFactor*c.estimates.firstToken.deviation.valueOr(0)
}

// serviceSeconds estimates the time from a grant to the end of the answer.
func (c *Core) serviceSeconds(r *request) float64 {
	decodeSeconds := float64(c.remainingAnswerTokens(r, answerLengthQuantile)) * c.estimates.tokenGap.valueOr(0)
	return c.firstTokenSeconds(r) + decodeSeconds
}

// setLatestStart computes the last moment at which a request can start and still
// meet its class's targets and its deadline.
func (c *Core) setLatestStart(r *request) {
	cl := &c.classes[r.class]
	r.latestStart = farFuture
	if cl.FirstToken > 0 && r.deliveredTokens == 0 {
		slack := targetSlack(cl.FirstToken, c.firstTokenSeconds(r))
		r.lowerLatestStart(addClamped(r.arrivedAt, slack), outcome.Infeasible)
	}
	if cl.WholeAnswer > 0 {
		slack := targetSlack(cl.WholeAnswer, c.serviceSeconds(r))
		r.lowerLatestStart(addClamped(r.arrivedAt, slack), outcome.Infeasible)
	}
	if cl.MaxWait > 0 {
		from := r.queuedAt
		if r.attempt == 0 {
			from = r.arrivedAt
		}
		r.lowerLatestStart(addClamped(from, cl.MaxWait), outcome.WaitExceeded)
	}
	if r.deadline != farFuture {
		r.lowerLatestStart(r.deadline-duration(c.serviceSeconds(r)), outcome.DeadlinePassed)
	}
}

// targetSlack returns how much of a target a request may spend waiting. If the
// work of a request takes longer than the target, the request would miss the
// target on an idle pool too. Such a request may still wait for minWaitShare of
// the target.
func targetSlack(target time.Duration, workSeconds float64) time.Duration {
	least := time.Duration(float64(target) * minWaitShare)
	return max(target-duration(workSeconds), least)
}

func (r *request) lowerLatestStart(latest time.Duration, reason outcome.Reason) {
	if latest < r.latestStart {
		r.latestStart = latest
		r.latestStartReason = reason
	}
}

func (c *Core) meanSlotSeconds(cl *class) float64 {
	return cl.slotSeconds.valueOr(c.estimates.slotSeconds.valueOr(defaultSlotSeconds))
}

// slotDemandAbove estimates how many slots are used by the requests that arrive in
// the tiers above the given tier.
func (c *Core) slotDemandAbove(tier int) float64 {
	sum := 0.0
	for _, k := range c.classesByTier {
		cl := &c.classes[k]
		if cl.Tier >= tier {
			break
		}
		sum += cl.arrivals.perSecond(c.now) * c.meanSlotSeconds(cl)
	}
	return sum
}

// expectedSlots estimates how many slots a class can count on.
func (c *Core) expectedSlots(cl *class) float64 {
	left := float64(c.capacity-cl.floorSlotsBelow) - c.slotDemandAbove(cl.Tier)
	return max(left, c.floorSlots(cl), minExpectedSlots)
}

// minExpectedSlots keeps wait estimates finite.
const minExpectedSlots = 0.1

// expectedWaitSeconds estimates how much longer a waiting request will wait:
// the work ahead of it divided by the slots that its class can count on.
func (c *Core) expectedWaitSeconds(r *request) float64 {
	cl := &c.classes[r.class]
	work := c.classWorkAhead(cl, r)
	for k := range c.classes {
		other := &c.classes[k]
		if other != cl && other.Tier <= cl.Tier {
			work += float64(other.waiting) * c.meanSlotSeconds(other)
		}
	}
	work -= float64(c.freeSlotsFor(cl)) * c.meanSlotSeconds(cl)
	return max(work, 0) / c.expectedSlots(cl)
}

// classWorkAhead estimates, in slot seconds, the work of the class until the
// last request in the queue of the given request is served. While that queue is
// served, other organisations get slots according to their weights. From the queue
// of another organisation, only the requests that are served in this time count.
func (c *Core) classWorkAhead(cl *class, r *request) float64 {
	resumed := float64(len(cl.queues[resumeQueue].heap))
	if r.queue == resumeQueue {
		return resumed * c.meanSlotSeconds(cl)
	}
	weightedLength := float64(len(cl.queues[r.queue].heap)) / c.organisations[r.organisation].Weight
	count := resumed
	for _, queue := range cl.activeQueues {
		if queue != resumeQueue {
			fairShare := weightedLength * c.organisations[queue-1].Weight
			count += min(float64(len(cl.queues[queue].heap)), fairShare)
		}
	}
	return count * c.meanSlotSeconds(cl)
}

// freeSlotsFor counts the slots that are free for the class or that it may take
// from lower tiers by preemption.
func (c *Core) freeSlotsFor(cl *class) int {
	return max(c.capacity-c.busy-cl.reserve-cl.freeFloorSlotsBelow, 0) + c.countVictims(cl)
}

// countVictims counts the running requests that may be preempted for a class.
func (c *Core) countVictims(cl *class) int {
	n := 0
	for k := range c.classes {
		n += c.countVictimsOf(cl, &c.classes[k])
	}
	return n
}

// countVictimsOf counts the running requests of class low that may be
// preempted for class high.
func (c *Core) countVictimsOf(high, low *class) int {
	if low.Tier <= high.Tier {
		return 0
	}
	aboveFloor := low.running - int(math.Ceil(c.floorSlots(low)))
	return max(min(aboveFloor, low.preemptible), 0)
}
