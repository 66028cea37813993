package edge

import (
	"context"
	"log"
	"net"
	"net/http"
	"time"

	"bergamotpin.example/bergamotpin/callerconn"
	"bergamotpin.example/bergamotpin/edge/reverseproxy"
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
	// ends the requests that are still open. cutResponseTime is how long it then waits for
	// their final responses to be written.
	cutMargin       = 700 * time.Millisecond
	cutResponseTime = 300 * time.Millisecond
	// unreadyDelay is how long the shutdown still accepts connections, and requests on kept
	// ones. The platform stops opening connections after two failed readiness checks, which
	// are one second apart. The remaining time is a margin.
	unreadyDelay = 2500 * time.Millisecond
	// openPollInterval is how often the shutdown checks for open connections.
	openPollInterval = 20 * time.Millisecond
)

var keepaliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepaliveIdle, Interval: keepaliveInterval, Count: keepaliveCount}

func dialStore(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepaliveConfig}
	return d.DialContext(ctx, network, address)
}

var _ objects.DialFunc = dialStore

func (i *Instance) newCallerServer() *http.Server {
	return &http.Server{
		Handler:           i.connections.AnnounceClose(i.handler),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         i.connections.TrackState,
		ConnContext:       callerconn.ConnContext,
		BaseContext:       func(net.Listener) context.Context { return i.requests },
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

// closeIdleCallers closes the callers' connections that have been idle for longer than
// idleTimeout plus idleMargin. If idleTimeout is zero, it closes none.
func (i *Instance) closeIdleCallers(idleTimeout time.Duration, now time.Time) {
	if idleTimeout > 0 {
		i.connections.CloseIdle(idleTimeout+idleMargin, now)
	}
}

// shutDown announces to the other instances that this one leaves. It goes on accepting
// connections and requests for up to unreadyDelay, and announces the end of the connection in
// each response. Then it refuses further requests that may outlive it, and waits until all
// connections have ended or the grace period is nearly over. The requests that are still open then
// get their final responses.
func (i *Instance) shutDown() {
	i.stopping.Store(true)
	i.gossip.Leave()
	i.log.StateChanges.Info("leaving", "open", i.connections.OpenRequests())
	startTime := time.Now()
	grace := i.settings.Load().StopGrace
	deadline := startTime.Add(grace - cutMargin)
	i.connections.AnnounceFromNowOn()
	time.Sleep(min(unreadyDelay, grace/3))
	i.handler.EndAt(time.Now(), deadline)
	_ = i.callerListener.Close()
	i.connections.CloseWhenIdle()
	i.connections.CloseUnused()
	i.awaitDrained(deadline)
	open := i.connections.OpenRequests()
	i.cutRequests(reverseproxy.ErrCut)
	i.awaitDrained(deadline.Add(cutResponseTime))
	i.log.StateChanges.Info("left", "cut", open, "after_ms", time.Since(startTime).Milliseconds())
}

// awaitDrained waits until all connections of callers have ended, at most until deadline.
func (i *Instance) awaitDrained(deadline time.Time) {
	for !i.connections.Drained() && time.Now().Before(deadline) {
		time.Sleep(openPollInterval)
	}
}
