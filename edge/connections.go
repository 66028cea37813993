package edge

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/objects"
)

const (
	// headerTimeout bounds the time in which a caller sends a request's header.
	// It is above what operators set; the operator's own limit comes with the
	// configuration.
	headerTimeout = 5 * time.Second
	// headerBytes is above any limit that an operator sets.
	headerBytes = 256 << 10
	// idleSlack is how much longer than stated an unused connection is kept.
	idleSlack = time.Second
	// Probes find callers and a store that went silent.
	probeIdle     = time.Second
	probeInterval = 400 * time.Millisecond
	probeCount    = 3
	// dialTimeout bounds the time until a connection to the store stands.
	dialTimeout = time.Second
	// lastMoments is how long before the kill the last requests are cut.
	lastMoments = 700 * time.Millisecond
	// stillSent is for how long after the platform was told not to, it may send
	// new connections here: two questions, a second apart, and some time.
	stillSent = 2500 * time.Millisecond
	// pollOpen is the time between two looks at the open requests.
	pollOpen = 20 * time.Millisecond
)

var probes = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}

func dialStore(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: probes}
	return d.DialContext(ctx, network, address)
}

var _ objects.DialFunc = dialStore

func (i *Instance) callersServer() *http.Server {
	return &http.Server{
		Handler:           i.front,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    headerBytes,
		ConnState:         i.open.follow,
		ErrorLog:          log.New(lineWriter{i}, "", 0),
	}
}

// lineWriter takes the lines that net/http logs of broken connections.
type lineWriter struct{ instance *Instance }

func (l lineWriter) Write(line []byte) (int, error) {
	l.instance.log.Failures.Info("caller's connection", "detail", string(line))
	return len(line), nil
}

// connections follows the callers' connections.
type connections struct {
	mu    sync.Mutex
	idle  map[net.Conn]time.Time
	fresh map[net.Conn]bool
	busy  int
}

func newConnections() *connections {
	return &connections{idle: make(map[net.Conn]time.Time), fresh: make(map[net.Conn]bool)}
}

// follow is the http.Server's hook.
func (c *connections) follow(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, wasIdle := c.idle[conn]
	wasFresh := c.fresh[conn]
	switch state {
	case http.StateNew:
		c.fresh[conn] = true
		return
	case http.StateActive:
		c.busy++
	case http.StateIdle:
		c.busy--
		c.idle[conn] = time.Now()
		return
	case http.StateClosed, http.StateHijacked:
		if !wasIdle && !wasFresh {
			c.busy--
		}
	}
	delete(c.idle, conn)
	delete(c.fresh, conn)
}

// open counts the connections with a request that has no answer yet.
func (c *connections) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy
}

// closeIdle closes the connections that were unused for longer than allowed.
func (c *connections) closeIdle(allowed time.Duration, now time.Time) {
	if allowed <= 0 {
		return
	}
	c.mu.Lock()
	var expired []net.Conn
	for conn, since := range c.idle {
		if now.Sub(since) > allowed+idleSlack {
			expired = append(expired, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range expired {
		// The server notices at its next read.
		_ = conn.Close()
	}
}

// leave serves what still comes and waits for the open requests.
func (i *Instance) leave(callers *http.Server) {
	i.stopping.Store(true)
	i.beacon.Leave()
	i.log.StateChanges.Info("leaving", "open", i.open.open())
	began := time.Now()
	grace := i.settings.Load().StopGrace
	end := began.Add(grace - lastMoments)
	callers.SetKeepAlivesEnabled(false)
	time.Sleep(min(stillSent, grace/3))
	_ = i.callers.Close()
	for i.open.open() > 0 && time.Now().Before(end) {
		time.Sleep(pollOpen)
	}
	i.log.StateChanges.Info("left", "cut", i.open.open(), "after_ms", time.Since(began).Milliseconds())
}
