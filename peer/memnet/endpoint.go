package memnet

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/peer"
)

// Endpoint is the peer.Transport of one address.
type Endpoint struct {
	network  *Network
	local    netip.AddrPort
	counters peer.Counters
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	handlers map[peer.Kind]peer.Handler
}

// Listen adds an endpoint at an address. It replaces an existing endpoint at
// that address, as a restarted process does.
func (n *Network) Listen(a netip.AddrPort) *Endpoint {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Endpoint{
		network:  n,
		local:    a,
		ctx:      ctx,
		cancel:   cancel,
		handlers: make(map[peer.Kind]peer.Handler),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endpoints[a] = e
	return e
}

// Local returns the endpoint's address.
func (e *Endpoint) Local() netip.AddrPort { return e.local }

// Counters returns what the endpoint has sent, received and refused so far.
func (e *Endpoint) Counters() peer.Counts { return e.counters.Read() }

// Handle registers the handler of a kind.
func (e *Endpoint) Handle(kind peer.Kind, h peer.Handler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handlers[kind] = h
}

// Close removes the endpoint from the network without telling its peers. It
// cancels the contexts of running handlers and returns after the handlers have
// ended.
func (e *Endpoint) Close() {
	n := e.network
	n.mu.Lock()
	if n.endpoints[e.local] == e {
		delete(n.endpoints, e.local)
	}
	n.mu.Unlock()
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.cancel()
	e.tasks.Wait()
}

// response is what a handler returned.
type response struct {
	body []byte
	err  error
}

// Call sends a message over the network and waits for the response.
func (e *Endpoint) Call(ctx context.Context, to netip.AddrPort, kind peer.Kind, body []byte) ([]byte, error) {
	if len(body) > peer.MaxMessageBytes {
		e.counters.Refused(peer.RefusedTooLarge)
		return nil, peer.ErrTooLarge
	}
	if err := e.awaitThaw(ctx); err != nil {
		return nil, err
	}
	if e.ctx.Err() != nil {
		return nil, peer.ErrClosed
	}
	e.counters.Sent(kind, peer.RequestHeaderBytes+len(body))
	arrives := e.awaitDelivery(ctx, direction{e.local, to})
	target := e.network.endpoint(to)
	if !arrives || target == nil {
		return nil, e.awaitCallEnd(ctx)
	}
	done := make(chan response, 1)
	if !target.serveCall(e.local, kind, body, done) {
		return nil, e.awaitCallEnd(ctx)
	}
	select {
	case resp := <-done:
		if !e.awaitDelivery(ctx, direction{to, e.local}) {
			return nil, e.awaitCallEnd(ctx)
		}
		return e.receive(ctx, kind, resp)
	case <-ctx.Done():
		return nil, e.awaitCallEnd(ctx)
	case <-e.ctx.Done():
		return nil, peer.ErrClosed
	}
}

// receive waits until the endpoint is not frozen, counts the response and
// returns it.
func (e *Endpoint) receive(ctx context.Context, kind peer.Kind, resp response) ([]byte, error) {
	if err := e.awaitThaw(ctx); err != nil {
		return nil, err
	}
	e.counters.Received(kind, peer.ResponseHeaderBytes+len(resp.body))
	return resp.body, resp.err
}

// awaitCallEnd is used for a call whose request or response was lost. It waits
// until ctx ends or the endpoint is closed, and returns the error of the call.
func (e *Endpoint) awaitCallEnd(ctx context.Context) error {
	select {
	case <-ctx.Done():
		e.counters.Refused(peer.RefusedTimeout)
		return ctx.Err()
	case <-e.ctx.Done():
		return peer.ErrClosed
	}
}

// awaitDelivery waits for the network's delay of one message in the direction
// dir, and reports whether the message arrives.
func (e *Endpoint) awaitDelivery(ctx context.Context, dir direction) bool {
	delay, arrives := e.network.decideDelivery(dir)
	if !arrives || delay == 0 {
		return arrives
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// awaitThaw waits until the endpoint is not frozen.
func (e *Endpoint) awaitThaw(ctx context.Context) error {
	for {
		thawed := e.network.thawSignal(e.local)
		if thawed == nil {
			return nil
		}
		select {
		case <-thawed:
		case <-ctx.Done():
			return ctx.Err()
		case <-e.ctx.Done():
			return peer.ErrClosed
		}
	}
}

// serveCall starts the handler of the kind. The handler's response is sent to
// done. If the endpoint is closed, serveCall does nothing and returns false.
func (e *Endpoint) serveCall(from netip.AddrPort, kind peer.Kind, body []byte, done chan<- response) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return false
	}
	h := e.handlers[kind]
	e.tasks.Go(func() {
		if e.awaitThaw(e.ctx) != nil {
			return
		}
		e.counters.Received(kind, peer.RequestHeaderBytes+len(body))
		resp := runHandler(e.ctx, h, from, body)
		if resp.err != nil {
			e.counters.Refused(peer.RefusedHandler)
		}
		if e.awaitThaw(e.ctx) != nil {
			return
		}
		e.counters.Sent(kind, peer.ResponseHeaderBytes+len(resp.body))
		done <- resp
	})
	return true
}

// runHandler calls h with a copy of the body, so that sender and handler share
// no memory, as with a socket.
func runHandler(ctx context.Context, h peer.Handler, from netip.AddrPort, body []byte) response {
	if h == nil {
		return response{err: peer.ErrNoHandler}
	}
	out, err := h(ctx, from, append([]byte(nil), body...))
	if err != nil {
		return response{err: &peer.RemoteError{Text: err.Error()}}
	}
	return response{body: append([]byte(nil), out...)}
}
