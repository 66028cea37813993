package schedcore

import (
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// checkAdmission refuses new and queued requests that cannot meet their targets,
// and requests beyond the queue's maximum length. If all configured servers are
// draining, or no server is configured, it refuses all waiting requests.
func (c *Core) checkAdmission(out *Output) {
	if !c.hasNonDrainingServer() {
		c.refuseAll(outcome.NoBackendServer, out)
		return
	}
	c.refuseInfeasible(out)
	c.recheckQueues(out)
	for c.waiting > c.opts.MaxQueue {
		c.refuseForCapacity(c.overflowVictim(), outcome.QueueFull, out)
	}
}

// hasNonDrainingServer reports whether any configured server is not draining.
// Ejected servers count.
func (c *Core) hasNonDrainingServer() bool {
	for i := range c.servers {
		if s := &c.servers[i]; !s.removed && !s.Draining {
			return true
		}
	}
	return false
}

func (c *Core) refuseAll(reason outcome.Reason, out *Output) {
	for k := range c.classes {
		cl := &c.classes[k]
		for cl.waiting > 0 {
			head, _ := c.earliestStart(cl)
			c.refuseForCapacity(head.request, reason, out)
		}
	}
}

// refuseInfeasible refuses each request that was queued at this tick and whose
// expected wait ends after its latest start. The request queued last is checked
// first, so that a refused request does not add to the expected wait of requests
// queued before it.
func (c *Core) refuseInfeasible(out *Output) {
	for k := len(c.newlyQueued) - 1; k >= 0; k-- {
		i := c.newlyQueued[k]
		r := &c.requests[i]
		if r.state != stateWaiting {
			continue
		}
		if addClamped(c.now, duration(c.expectedWaitSeconds(r))) > r.latestStart {
			c.refuseForCapacity(i, outcome.Infeasible, out)
		}
	}
}

const (
	// recheckMargin is a ratio. A queued request is refused if its expected wait
	// is longer than recheckMargin times its slack. The ratio is above 1, so that
	// a small error in the estimate refuses no request that was rightly admitted.
	recheckMargin = 1.5
	// recheckSlack is added to the slack of a queued request before the slack is
	// compared with the expected wait.
	recheckSlack = 200 * time.Millisecond
	// maxRecheckRefusals limits the requests of a class that recheckQueues
	// refuses in one tick.
	maxRecheckRefusals = 256
)

// recheckQueues refuses queued requests that the pool can no longer serve in
// time, for example because servers left or slowed down. It takes the requests
// from the end of each class's longest queue, but never from the queue of resumed
// requests.
func (c *Core) recheckQueues(out *Output) {
	for k := range c.classes {
		cl := &c.classes[k]
		for n := 0; cl.waiting > 0 && n < maxRecheckRefusals; n++ {
			queue := c.longestQueue(cl)
			if queue == resumeQueue {
				break
			}
			heap := cl.queues[queue].heap
			last := heap[len(heap)-1]
			slack := addClamped(last.latestStart-c.now, recheckSlack)
			wait := c.expectedWaitSeconds(&c.requests[last.request])
			if wait <= recheckMargin*seconds(slack) {
				break
			}
			c.refuseForCapacity(last.request, outcome.Infeasible, out)
		}
	}
}

// longestQueue returns the index of the class's queue that is longest relative
// to its organisation's weight.
func (c *Core) longestQueue(cl *class) int32 {
	longest, length := noIndex, 0.0
	for _, queue := range cl.activeQueues {
		if queueLength := c.weightedLength(cl, queue); longest == noIndex || queueLength > length {
			longest, length = queue, queueLength
		}
	}
	return longest
}

// overflowVictim returns the waiting request to refuse when the queue is over
// its maximum length. In the lowest tier that has waiting requests, it takes the
// queue that is longest relative to its organisation's weight, and returns a
// request near the end of that queue.
func (c *Core) overflowVictim() int32 {
	for k := len(c.classesByTier) - 1; k >= 0; k-- {
		cl := &c.classes[c.classesByTier[k]]
		if cl.waiting == 0 {
			continue
		}
		heap := cl.queues[c.longestQueue(cl)].heap
		return heap[len(heap)-1].request
	}
	panic("schedcore: queue is over its maximum length but holds no waiting request")
}

// evictLowerTiers refuses all requests that wait in a lower tier than a request
// that was refused for capacity or preempted at this tick.
func (c *Core) evictLowerTiers(out *Output) {
	if c.shedTier == noTier || c.skipEviction {
		return
	}
	shedTier := c.shedTier
	for k := len(c.classesByTier) - 1; k >= 0; k-- {
		cl := &c.classes[c.classesByTier[k]]
		if cl.Tier <= shedTier {
			return
		}
		for cl.waiting > 0 {
			heap := cl.queues[cl.activeQueues[0]].heap
			c.refuseForCapacity(heap[len(heap)-1].request, outcome.Evicted, out)
		}
	}
}

// weightedLength is a queue's length relative to its organisation's weight.
// The queue of resumed requests has length 0, so it counts as the shortest.
func (c *Core) weightedLength(cl *class, queue int32) float64 {
	if queue == resumeQueue {
		return 0
	}
	return float64(len(cl.queues[queue].heap)) / c.organisations[queue-1].Weight
}
