package schedcore

import "time"

// Core decides for one pool. It is not safe for concurrent use.
type Core struct {
	opts Options
	now  time.Duration
	prev time.Duration // time of the tick before
	rng  random

	rows    []request
	unused  []int32             // free indexes of rows
	byID    map[RequestID]int32 // index of a row, or a mark of an ended request
	ended   endedRing
	running []int32 // rows that hold a slot
	waiting int     // rows in all queues
	seq     uint64
	fresh   []int32 // rows queued at this tick

	classes    []class
	classIndex map[string]int32
	byTier     []int32 // classes, highest tier first
	orgs       []organisation
	orgIndex   map[string]int32

	servers     []server
	serverIndex map[string]int32
	// unusedServers are free indexes of servers.
	unusedServers []int32
	capacity      int // sum of the limits of servers that take work
	busy          int // requests in flight on those servers
	prefixes      prefixTable
	pool          poolEstimate
	remote        []remotePool
	bookings      bookingTable

	shed     int // highest tier with a request refused for capacity at this tick
	shedTier int // the same at shedAt
	shedAt   time.Duration
	nextWake time.Duration
	stats    Stats
	explain  explainRing
	noRule   bool // test hook: leaves lower tiers waiting when a higher one is refused
	medians  []float64
}

// New returns a core without servers.
func New(opts Options) *Core {
	opts = opts.withDefaults()
	return &Core{
		opts:        opts,
		rng:         random{state: opts.Seed},
		byID:        make(map[RequestID]int32),
		classIndex:  make(map[string]int32),
		orgIndex:    make(map[string]int32),
		serverIndex: make(map[string]int32),
		prefixes:    newPrefixTable(),
		explain:     newExplainRing(opts.MaxExplainRecords),
		pool:        poolEstimate{first: line{slope: defaultPrefill}},
		nextWake:    farFuture,
	}
}

// Tick applies the events of in and fills out with the decisions. Now is the
// time since any fixed moment and does not go back.
//
// Free slots are given away before anything is refused, so that no request is
// refused while a slot that it may use stands empty.
func (c *Core) Tick(now time.Duration, in *Input, out *Output) {
	out.Reset()
	c.begin(now)
	c.apply(in, out)
	c.expire(out)
	c.observe()
	c.limit()
	c.order()
	c.place(out)
	c.tryMore(out)
	c.admit(out)
	c.preempt(out)
	c.evictBelow(out)
	c.finish(out)
}

func (c *Core) begin(now time.Duration) {
	c.prev = c.now
	c.now = max(now, c.now)
	c.shed = noTier
	c.fresh = c.fresh[:0]
	c.stats.Ticks++
}
