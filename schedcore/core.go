package schedcore

import "time"

// Core decides for one pool. It is not safe for concurrent use.
type Core struct {
	opts     Options
	now      time.Duration
	lastTick time.Duration // time of the previous tick
	rng      random

	requests    []request
	freeIndexes []int32             // unused indexes of requests
	byID        map[RequestID]int32 // index into requests, or markEnded or markReferred
	ended       endedRing
	running     []int32 // indexes of the requests that hold a slot
	waiting     int     // number of requests in all queues
	seq         uint64  // number of the last queued request, see request.queueSeq
	newlyQueued []int32 // indexes of the requests queued at this tick

	classes           []class
	classIndex        map[string]int32
	classesByTier     []int32 // highest tier first
	organisations     []organisation
	organisationIndex map[string]int32

	servers     []server
	serverIndex map[string]int32
	// freeServerIndexes holds the unused indexes of servers.
	freeServerIndexes []int32
	capacity          int // sum of the limits of the servers that accept work
	busy              int // requests in flight on the servers that accept work
	prefixes          prefixTable
	estimates         poolEstimates
	remotePools       []remotePool
	reservations      reservationTable

	shedTier      int           // highest tier in which a request was refused for capacity or preempted at this tick
	lastShedTier  int           // shedTier of the last tick with a refusal for capacity or a preemption
	lastShedAt    time.Duration // time of the last tick with a refusal for capacity or a preemption
	nextWakeup    time.Duration
	stats         Stats
	explain       explainRing
	skipEviction  bool      // test hook: disables evictLowerTiers
	medianScratch []float64 // memory that medianTokenGap reuses
}

// New returns a core without servers.
func New(opts Options) *Core {
	opts = opts.withDefaults()
	return &Core{
		opts:              opts,
		rng:               random{state: opts.Seed},
		byID:              make(map[RequestID]int32),
		classIndex:        make(map[string]int32),
		organisationIndex: make(map[string]int32),
		serverIndex:       make(map[string]int32),
		prefixes:          newPrefixTable(),
		explain:           newExplainRing(opts.MaxExplainRecords),
		estimates:         poolEstimates{firstToken: decayingLine{priorSlope: defaultPromptTokenSeconds}},
		nextWakeup:        farFuture,
	}
}

// Tick applies the events of the Input and fills the Output with the decisions.
// The current time is given as the time since a fixed moment that the caller
// chooses, and must not go back.
//
// Free slots are granted before anything is refused, so that no request is
// refused while a slot that it may use is free.
func (c *Core) Tick(now time.Duration, in *Input, out *Output) {
	out.Reset()
	c.beginTick(now)
	c.applyInput(in, out)
	c.expireRequests(out)
	c.recordInFlight()
	c.updateLimits()
	c.computeReserves()
	c.grantFreeSlots(out)
	c.grantLimitProbe(out)
	c.checkAdmission(out)
	c.preemptLowerTiers(out)
	c.evictLowerTiers(out)
	c.finishTick(out)
}

func (c *Core) beginTick(now time.Duration) {
	c.lastTick = c.now
	c.now = max(now, c.now)
	c.shedTier = noTier
	c.newlyQueued = c.newlyQueued[:0]
	c.stats.Ticks++
}
