package callerconn

import (
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/memoryaccount"
)

const (
	// idleGrace is how long an idle connection is still read from before it is closed, so
	// that a request that has arrived by then is read. unusedGrace is the same for a
	// connection that has carried no request yet: its caller has just opened it in order
	// to send one.
	idleGrace   = 20 * time.Millisecond
	unusedGrace = 250 * time.Millisecond
)

// Tracker holds the open connections of an http.Server. It is safe for concurrent use.
type Tracker struct {
	mu   sync.Mutex
	open map[*connection]struct{}
	// announcing is set once responses announce the end of their connections, stopping once
	// connections are to be closed as soon as they are idle, and closingUnused once also
	// those that have not carried a request are.
	announcing, stopping, closingUnused bool
	// accepting is set from the first call of Accept until the listener is closed. A
	// connection may be on its way into open until then.
	accepting bool

	bounds    Bounds
	byAddress map[netip.Addr]int
	refusals  Refusals
	// roomAt is when room was last searched for.
	roomAt time.Time
}

// New returns a Tracker without connections and without bounds.
func New() *Tracker { return NewBounded(Bounds{}) }

// NewBounded returns a Tracker without connections.
func NewBounded(b Bounds) *Tracker {
	return &Tracker{open: make(map[*connection]struct{}), byAddress: make(map[netip.Addr]int), bounds: b}
}

// listener accepts the connections that a Tracker holds.
type listener struct {
	net.Listener
	tracker *Tracker
}

// Listen returns a listener whose connections are held until they are closed. The
// http.Server that uses it must have TrackState as its ConnState hook.
func (t *Tracker) Listen(l net.Listener) net.Listener { return listener{l, t} }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	l.tracker.setAccepting(true)
	for {
		conn, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			l.tracker.setAccepting(false)
		}
		if err != nil {
			return nil, err
		}
		if caller := l.tracker.add(conn); caller != nil {
			return caller, nil
		}
		// The error is ignored: the connection was not used.
		_ = conn.Close()
	}
}

func (t *Tracker) setAccepting(accepting bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accepting = accepting
}

// add holds a connection that was accepted. It returns nil if there is no room for it.
func (t *Tracker) add(conn net.Conn) *connection {
	caller := &connection{Conn: conn, tracker: t, address: addressOf(conn), opened: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasRoom(caller) {
		return nil
	}
	t.open[caller] = struct{}{}
	t.byAddress[caller.address]++
	if t.bounds.Account != nil {
		caller.memory = t.bounds.Account.Reserve(memoryaccount.Connections, memoryaccount.Party{})
		caller.memory.Force(ConnectionCost)
	}
	if t.closingUnused {
		caller.expire(time.Now().Add(unusedGrace))
	}
	return caller
}

// TrackState is the ConnState hook of the http.Server.
func (t *Tracker) TrackState(conn net.Conn, state http.ConnState) {
	caller, ok := conn.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		// The request may have arrived together with the one before, and then takes no read.
		caller.beginServing()
	case http.StateIdle:
		now := time.Now()
		caller.endRequest(now)
		if t.isStopping() {
			caller.expire(now.Add(idleGrace))
		}
	case http.StateClosed, http.StateHijacked:
		caller.release()
		t.remove(caller)
	}
}

func (t *Tracker) remove(caller *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.open[caller]; !ok {
		return
	}
	delete(t.open, caller)
	if t.byAddress[caller.address]--; t.byAddress[caller.address] == 0 {
		delete(t.byAddress, caller.address)
	}
}

func (t *Tracker) isStopping() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stopping
}

// all returns the open connections.
func (t *Tracker) all() []*connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.open))
}

// Count returns the number of open connections.
func (t *Tracker) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// Drained reports whether the listener is closed and no connection is open.
func (t *Tracker) Drained() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.accepting && len(t.open) == 0
}

// OpenRequests returns the number of requests that are being read or served. A connection
// has at most one.
func (t *Tracker) OpenRequests() int {
	n := 0
	for _, caller := range t.all() {
		if caller.inRequest() {
			n++
		}
	}
	return n
}

// CloseIdle closes the connections that have been idle for longer than maxIdle.
func (t *Tracker) CloseIdle(maxIdle time.Duration, now time.Time) {
	for _, caller := range t.all() {
		if idle, ok := caller.idleFor(now); ok && idle > maxIdle {
			caller.expire(time.Now().Add(idleGrace))
		}
	}
}

// AnnounceFromNowOn has each response whose header is not written yet announce the end of its
// connection. Idle connections stay open for the next request: its caller learns of the end
// from the response, and sends no request that crosses the closing.
func (t *Tracker) AnnounceFromNowOn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.announcing = true
}

func (t *Tracker) isAnnouncing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.announcing
}

// CloseWhenIdle closes each connection that has carried a request as soon as it is idle.
func (t *Tracker) CloseWhenIdle() {
	t.mu.Lock()
	t.announcing, t.stopping = true, true
	t.mu.Unlock()
	for _, caller := range t.all() {
		if _, idle := caller.idleFor(time.Now()); idle {
			caller.expire(time.Now().Add(idleGrace))
		}
	}
}

// CloseUnused closes the connections on which no request has begun. It is called when no
// further connections are accepted.
func (t *Tracker) CloseUnused() {
	t.mu.Lock()
	t.closingUnused = true
	t.mu.Unlock()
	for _, caller := range t.all() {
		caller.expire(time.Now().Add(unusedGrace))
	}
}
