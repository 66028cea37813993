package schedcore

import (
	"math"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// farFuture means that there is no time limit.
const farFuture = time.Duration(math.MaxInt64)

// noTier ranks below every tier.
const noTier = math.MaxInt

// noIndex means that no table entry is referenced.
const noIndex int32 = -1

type requestState uint8

const (
	stateInactive requestState = iota // neither waiting nor running
	stateWaiting
	stateRunning
)

// request is one entry of the request table.
type request struct {
	ticket       Ticket
	state        requestState
	class        int32  // index in Core.classes
	organisation int32  // index in Core.organisations
	queue        int32  // index in class.queues
	server       int32  // index of the server while running
	listIndex    int32  // index in the queue's heap or in Core.running
	queueSeq     uint64 // order of queueing, breaks ties between equal latest starts

	arrivedAt         time.Duration  // when the caller's request arrived
	queuedAt          time.Duration  // when the request was last queued
	latestStart       time.Duration  // last moment to start and still meet all targets and the deadline
	latestStartReason outcome.Reason // refusal reason once latestStart has passed
	deadline          time.Duration  // farFuture for none
	grantedAt         time.Duration
	lastEventAt       time.Duration // last event of the running attempt

	attempt             uint32
	failedAttempts      int
	lastFailedServer    int32          // server of the last failed attempt
	deliveredTokens     int            // tokens that the caller already has
	mayHaveStarted      bool           // an attempt may have started at its server
	firstTokenSeen      bool           // this attempt returned its first token
	limitProbe          bool           // granted beyond the server's limit
	claimed             bool           // this attempt was granted by another scheduler
	uncachedTokens      int            // prompt tokens to compute in this attempt
	pendingTokensBefore int            // prompt tokens pending on the server when this attempt was granted
	chargedTokens       float64        // tokens charged to the organisation at the grant
	expectedWait        time.Duration  // expected further wait when the request was refused, for the explain record
	retryReason         outcome.Reason // why the last attempt ended, passed with the next grant
}

// class is one entry of the class table, with the class's queues.
type class struct {
	Class
	removed      bool           // not in the latest Config
	queues       []requestQueue // indexed by queueIndexOf or resumeQueue
	activeQueues []int32        // indexes of the queues with waiting requests
	virtualTime  float64        // an empty queue that gets a request starts with at least this virtualTime
	waiting      int
	running      int
	// preemptible counts the running requests that are idempotent.
	preemptible int
	// reserve is how many slots the class must leave free for higher tiers.
	reserve int
	// freeFloorSlotsBelow is how many slots the class must leave free for the
	// floors of lower tiers.
	freeFloorSlotsBelow int
	// floorSlotsBelow is how many slots the floors of lower tiers need, both
	// slots in use and free ones.
	floorSlotsBelow int
	nextFloorGrant  time.Duration // earliest next grant from a floor below one slot

	answerLengths histogram    // numbers of tokens of completed answers
	slotSeconds   decayingMean // seconds for which a request holds a slot
	arrivals      decayingRate // tickets of the class per second
	// returningWeight is the total weight of the organisations that have
	// requests waiting or callers due to return.
	returningWeight float64
	retryBudget     float64 // retries that may still be granted
}

// organisation is one entry of the organisation table.
type organisation struct {
	Organisation
}

// server is one entry of the backend server table.
type server struct {
	Server
	removed          bool          // not in the latest Config; the entry only counts requests that still run at the server
	inFlight         int           // number of running requests that the core granted or accepted a claim for
	externalRequests float64       // running requests from other senders, estimated from load reports
	reportedAt       time.Duration // when the last load report was applied

	learnedLimit        float64 // current concurrency limit, may be fractional
	peakInFlight        int     // highest inFlight since windowStart
	window              serverWindow
	windowStart         time.Duration // when window was last cleared
	tokenGap            decayingMean  // seconds between tokens
	slowness            decayingMean  // measured time to the first token divided by the time expected from the pool's estimate
	limitProber         limitProber
	pendingPromptTokens int // prompt tokens of attempts that wait for their first token

	consecutiveFailures int
	ejected             bool          // out of the pool because it failed or was very slow; gets only probes
	backoffStart        time.Duration // start of the wait for the next probe
	probeBackoff        time.Duration // length of the wait for the next probe
	probeInFlight       bool          // a probe of the ejected server is running
	history             inFlightHistory
}

// serverWindow holds what was observed of a server since its limit was last
// updated.
type serverWindow struct {
	gapSeconds    float64 // sum of the times between tokens
	gapCount      float64 // number of times between tokens in gapSeconds
	gapTarget     float64 // strictest target for the time between tokens, seconds
	lateResponses int     // responses that isLate counts as late
	responses     int
	refusals      int // requests that the server refused
}

func (s *server) acceptsWork() bool { return !s.removed && !s.Draining && !s.ejected }

// limit returns the concurrency limit in whole slots.
func (s *server) limit() int { return max(1, int(s.learnedLimit)) }

// load returns the number of requests at the server, including those of other
// senders.
func (s *server) load() int { return s.inFlight + int(s.externalRequests) }

func (c *Core) newRequest() int32 {
	if n := len(c.freeIndexes); n > 0 {
		i := c.freeIndexes[n-1]
		c.freeIndexes = c.freeIndexes[:n-1]
		return i
	}
	c.requests = append(c.requests, request{})
	return int32(len(c.requests) - 1)
}

func (c *Core) freeRequest(i int32) {
	c.requests[i] = request{}
	c.freeIndexes = append(c.freeIndexes, i)
}

// startRunning moves a request that is in no queue to the running requests.
func (c *Core) startRunning(i, s int32) {
	r := &c.requests[i]
	r.state = stateRunning
	r.server = s
	r.listIndex = int32(len(c.running))
	r.grantedAt = c.now
	r.lastEventAt = c.now
	r.firstTokenSeen = false
	r.limitProbe = false
	r.claimed = false
	c.running = append(c.running, i)
	cl := &c.classes[r.class]
	cl.running++
	if r.ticket.Idempotent {
		cl.preemptible++
	}
	srv := &c.servers[s]
	srv.inFlight++
	srv.peakInFlight = max(srv.peakInFlight, srv.inFlight)
	r.pendingTokensBefore = srv.pendingPromptTokens
	srv.pendingPromptTokens += r.uncachedTokens
	if srv.acceptsWork() {
		c.busy++
	}
}

// stopRunning removes a request from the running requests and frees its slot.
func (c *Core) stopRunning(i int32) {
	r := &c.requests[i]
	last := len(c.running) - 1
	moved := c.running[last]
	c.running[r.listIndex] = moved
	c.requests[moved].listIndex = r.listIndex
	c.running = c.running[:last]
	cl := &c.classes[r.class]
	cl.running--
	if r.ticket.Idempotent {
		cl.preemptible--
	}
	srv := &c.servers[r.server]
	srv.inFlight--
	if !r.firstTokenSeen {
		srv.pendingPromptTokens -= r.uncachedTokens
	}
	if r.limitProbe && !r.firstTokenSeen {
		srv.limitProber.recordFailure(c.now)
		srv.limitProber.probeInFlight = false
	}
	if srv.acceptsWork() {
		c.busy--
	}
	r.state = stateInactive
}
