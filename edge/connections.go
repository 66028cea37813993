package edge

import (
	"context"
	"log"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/objects"
)

const (
	// headerTimeout bounds how long a caller may take to send a request's header. It is
	// longer than the header timeouts that operators set in their configuration
	// (catalog.Limits.HeaderTimeout). This package does not enforce the operator's header
	// timeout.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds the size of the request header that net/http reads. The
	// lower limit in the operator's configuration (catalog.Limits.HeaderBytes) is checked
	// after the header was read.
	maxHeaderBytes = 256 << 10
	// idleMargin is how much longer than the configuration's idle timeout an idle
	// connection of a caller is kept open.
	idleMargin = time.Second
	// Settings of the TCP keepalive probes, which detect broken connections to the
	// metadata store.
	keepaliveIdle     = time.Second
	keepaliveInterval = 400 * time.Millisecond
	keepaliveCount    = 3
	// dialTimeout bounds the time to establish a connection to the metadata store.
	dialTimeout = time.Second
	// cutMargin is how long before the end of the platform's grace period the shutdown
	// cuts the requests that are still open.
	cutMargin = 700 * time.Millisecond
	// unreadyDelay is how long the shutdown still accepts connections. The platform
	// stops opening connections after two failed readiness checks, which are one second
	// apart. The remaining time is a margin.
	unreadyDelay = 2500 * time.Millisecond
	// openPollInterval is how often the shutdown checks for open connections.
	openPollInterval = 20 * time.Millisecond
	// idleGrace is how long an idle connection is still read from before it is closed, so
	// that a request that has arrived by then is read. unusedGrace is the same for a
	// connection that has carried no request when a stopping instance no longer accepts
	// connections: its caller has just opened it in order to send a request.
	idleGrace   = 20 * time.Millisecond
	unusedGrace = 250 * time.Millisecond
)

var keepaliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepaliveIdle, Interval: keepaliveInterval, Count: keepaliveCount}

func dialStore(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepaliveConfig}
	return d.DialContext(ctx, network, address)
}

var _ objects.DialFunc = dialStore

func (i *Instance) newCallerServer() *http.Server {
	return &http.Server{
		Handler:           i.handler,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         i.connections.trackState,
		ErrorLog:          log.New(serverErrorLog{i}, "", 0),
	}
}

// serverErrorLog writes the connection errors that net/http reports to the instance's
// log.
type serverErrorLog struct{ instance *Instance }

func (l serverErrorLog) Write(line []byte) (int, error) {
	l.instance.log.Failures.Info("error on a caller's connection", "detail", string(line))
	return len(line), nil
}

// connections holds the callers' open connections.
type connections struct {
	mu   sync.Mutex
	open map[*callerConnection]struct{}
	// stopping is set once connections are to be closed as soon as they are idle.
	stopping bool
}

func newConnections() *connections {
	return &connections{open: make(map[*callerConnection]struct{})}
}

// callerListener accepts the connections of callers.
type callerListener struct {
	net.Listener
	connections *connections
}

// listen returns a listener whose connections are held in c until they are closed. The
// http.Server that uses it must have trackState as its ConnState hook.
func (c *connections) listen(l net.Listener) net.Listener { return callerListener{l, c} }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	caller := &callerConnection{Conn: conn}
	l.connections.mu.Lock()
	defer l.connections.mu.Unlock()
	l.connections.open[caller] = struct{}{}
	return caller, nil
}

// trackState is the ConnState hook of the http.Server.
func (c *connections) trackState(conn net.Conn, state http.ConnState) {
	caller, ok := conn.(*callerConnection)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		now := time.Now()
		caller.endRequest(now)
		if c.isStopping() {
			caller.expire(now.Add(idleGrace))
		}
	case http.StateClosed, http.StateHijacked:
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.open, caller)
	}
}

func (c *connections) isStopping() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopping
}

// all returns the open connections.
func (c *connections) all() []*callerConnection {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.open))
}

// count returns the number of open connections.
func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// openRequests returns the number of requests that are being read or served. A connection
// has at most one.
func (c *connections) openRequests() int {
	n := 0
	for _, caller := range c.all() {
		if caller.inRequest() {
			n++
		}
	}
	return n
}

// closeIdle closes the connections that have been idle for longer than idleTimeout
// plus idleMargin. If idleTimeout is zero, it closes none.
func (c *connections) closeIdle(idleTimeout time.Duration, now time.Time) {
	if idleTimeout <= 0 {
		return
	}
	for _, caller := range c.all() {
		if idle, ok := caller.idleFor(now); ok && idle > idleTimeout+idleMargin {
			caller.expire(time.Now().Add(idleGrace))
		}
	}
}

// closeWhenIdle closes each connection that has carried a request as soon as it is idle.
func (c *connections) closeWhenIdle() {
	c.mu.Lock()
	c.stopping = true
	c.mu.Unlock()
	for _, caller := range c.all() {
		if _, idle := caller.idleFor(time.Now()); idle {
			caller.expire(time.Now().Add(idleGrace))
		}
	}
}

// closeUnused closes the connections on which no request has begun.
func (c *connections) closeUnused() {
	for _, caller := range c.all() {
		caller.expire(time.Now().Add(unusedGrace))
	}
}

// shutDown announces to the other instances that this one leaves. It goes on accepting
// connections for up to unreadyDelay. Then it waits until all connections have ended or the
// grace period is nearly over.
func (i *Instance) shutDown() {
	i.stopping.Store(true)
	i.gossip.Leave()
	i.log.StateChanges.Info("leaving", "open", i.connections.openRequests())
	startTime := time.Now()
	grace := i.settings.Load().StopGrace
	deadline := startTime.Add(grace - cutMargin)
	i.connections.closeWhenIdle()
	time.Sleep(min(unreadyDelay, grace/3))
	_ = i.callerListener.Close()
	i.connections.closeUnused()
	for i.connections.count() > 0 && time.Now().Before(deadline) {
		time.Sleep(openPollInterval)
	}
	i.log.StateChanges.Info("left", "cut", i.connections.openRequests(), "after_ms", time.Since(startTime).Milliseconds())
}
