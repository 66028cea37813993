package schedcore

import (
	"math"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// farFuture stands for no bound in time.
const farFuture = time.Duration(math.MaxInt64)

// noTier is below every tier.
const noTier = math.MaxInt

// none stands for no row of a table.
const none int32 = -1

type requestState uint8

const (
	stateFree requestState = iota
	stateWaiting
	stateRunning
)

// request is one row of the table of requests.
type request struct {
	ticket   Ticket
	state    requestState
	class    int32
	org      int32
	lane     int32 // queue of its class: laneOf its organisation, or resumeLane
	server   int32 // while running
	position int32 // in its queue or in the list of running rows
	seq      uint64

	arrived  time.Duration  // when the caller's request came
	queued   time.Duration  // when it began to wait
	startBy  time.Duration  // latest start that can still meet its bounds
	bound    outcome.Reason // why it is given up past startBy
	deadline time.Duration  // farFuture for none
	granted  time.Duration
	heard    time.Duration // last event of the running attempt

	attempt   uint32
	failures  int
	failedOn  int32 // server of the last failed attempt
	delivered int   // tokens that the caller has
	started   bool  // some attempt may have started
	first     bool  // this attempt's first token came
	trial     bool  // granted beyond the server's limit
	claimed   bool  // this attempt was granted by another scheduler
	uncached  int   // prompt tokens to compute at this attempt
	ahead     int   // prompt tokens that the server had to compute before
	charged   float64
	expected  time.Duration  // wait expected at a refusal, for its record
	why       outcome.Reason // for the next grant
}

// class is one row of the table of classes, with its queues.
type class struct {
	Class
	gone    bool
	queues  []laneQueue // by lane
	active  []int32     // lanes with waiting rows
	virtual float64     // virtual time of the last grant
	waiting int
	running int
	// preemptible counts running rows that are idempotent.
	preemptible int
	// reserve is the number of free slots that the class leaves to the tiers
	// above it.
	reserve int
	// heldBelow is the number of free slots that are kept for the floors of
	// lower tiers.
	heldBelow int
	// promisedBelow is the number of slots that lower tiers use of their
	// floors.
	promisedBelow int
	nextFloor     time.Duration // when a floor below one slot allows the next grant

	lengths  histogram // answer lengths in tokens
	hold     mean      // seconds for which a request holds a slot
	arrivals rate
	// returning is the weight of the organisations that may come back.
	returning float64
	budget    float64 // retries that may be spent
}

// organisation is one row of the table of organisations.
type organisation struct {
	Organisation
}

// server is one row of the table of backend servers.
type server struct {
	Server
	gone     bool
	inFlight int
	foreign  float64 // requests of others, from reports
	heardAt  time.Duration

	ceiling  float64 // learnt limit
	peak     int     // highest inFlight of the window
	window   serverWindow
	windowAt time.Duration
	gap      mean // seconds between tokens
	slowness mean // time to the first token over what the pool's line says
	growth   growth
	pending  int // prompt tokens of attempts without a first token

	failures int // in a row
	aside    bool
	asideAt  time.Duration
	backoff  time.Duration
	probing  bool
	history  flightHistory
}

// serverWindow collects what a server showed since its limit was last set.
type serverWindow struct {
	gapTime  float64 // seconds
	gaps     float64
	gapBound float64 // strictest target between tokens seen, seconds
	late     int     // first tokens that used up their share of the target
	firsts   int
	refused  int
}

func (s *server) takesWork() bool { return !s.gone && !s.Drain && !s.aside }

func (s *server) limit() int { return max(1, int(s.ceiling)) }

func (s *server) load() int { return s.inFlight + int(s.foreign) }

func (c *Core) newRow() int32 {
	if n := len(c.unused); n > 0 {
		i := c.unused[n-1]
		c.unused = c.unused[:n-1]
		return i
	}
	c.rows = append(c.rows, request{})
	return int32(len(c.rows) - 1)
}

func (c *Core) freeRow(i int32) {
	c.rows[i] = request{}
	c.unused = append(c.unused, i)
}

// run moves a row that is in no list to the running rows.
func (c *Core) run(i, s int32) {
	r := &c.rows[i]
	r.state = stateRunning
	r.server = s
	r.position = int32(len(c.running))
	r.granted = c.now
	r.heard = c.now
	r.first = false
	r.trial = false
	r.claimed = false
	c.running = append(c.running, i)
	cl := &c.classes[r.class]
	cl.running++
	if r.ticket.Idempotent {
		cl.preemptible++
	}
	srv := &c.servers[s]
	srv.inFlight++
	srv.peak = max(srv.peak, srv.inFlight)
	r.ahead = srv.pending
	srv.pending += r.uncached
	if srv.takesWork() {
		c.busy++
	}
}

// stop takes a row out of the running rows and frees its slot.
func (c *Core) stop(i int32) {
	r := &c.rows[i]
	last := len(c.running) - 1
	moved := c.running[last]
	c.running[r.position] = moved
	c.rows[moved].position = r.position
	c.running = c.running[:last]
	cl := &c.classes[r.class]
	cl.running--
	if r.ticket.Idempotent {
		cl.preemptible--
	}
	srv := &c.servers[r.server]
	srv.inFlight--
	if !r.first {
		srv.pending -= r.uncached
	}
	if r.trial && !r.first {
		srv.growth.fail(c.now)
		srv.growth.trying = false
	}
	if srv.takesWork() {
		c.busy--
	}
	r.state = stateFree
}
