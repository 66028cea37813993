package memnet

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/peer"
)

// Endpoint is the Transport of one address.
type Endpoint struct {
	network  *Network
	local    netip.AddrPort
	counters peer.Counters
	ctx      context.Context
	end      context.CancelFunc
	tasks    sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	handlers map[peer.Kind]peer.Handler
}

// Listen adds an endpoint at an address. It takes the place of one that was
// there before, as a restarted process does.
func (n *Network) Listen(a netip.AddrPort) *Endpoint {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Endpoint{
		network:  n,
		local:    a,
		ctx:      ctx,
		end:      cancel,
		handlers: make(map[peer.Kind]peer.Handler),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endpoints[a] = e
	return e
}

// Local returns the endpoint's address.
func (e *Endpoint) Local() netip.AddrPort { return e.local }

// Counters returns what the endpoint carried and refused so far.
func (e *Endpoint) Counters() peer.Counts { return e.counters.Read() }

// Handle registers the handler of a kind.
func (e *Endpoint) Handle(kind peer.Kind, h peer.Handler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handlers[kind] = h
}

// Close takes the endpoint off the network without a word to its peers. It
// returns after the running handlers ended; their contexts end at once.
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
	e.end()
	e.tasks.Wait()
}

// answer is what a handler returned.
type answer struct {
	body []byte
	err  error
}

// Call sends a message over the network and waits for its answer.
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
	arrives := e.travel(ctx, way{e.local, to})
	target := e.network.endpoint(to)
	if !arrives || target == nil {
		return nil, e.lost(ctx)
	}
	done := make(chan answer, 1)
	if !target.serve(e.local, kind, body, done) {
		return nil, e.lost(ctx)
	}
	select {
	case a := <-done:
		if !e.travel(ctx, way{to, e.local}) {
			return nil, e.lost(ctx)
		}
		return e.receive(ctx, kind, a)
	case <-ctx.Done():
		return nil, e.lost(ctx)
	case <-e.ctx.Done():
		return nil, peer.ErrClosed
	}
}

// receive takes an answer, after the thaw if the endpoint is frozen.
func (e *Endpoint) receive(ctx context.Context, kind peer.Kind, a answer) ([]byte, error) {
	if err := e.awaitThaw(ctx); err != nil {
		return nil, err
	}
	e.counters.Received(kind, peer.AnswerHeaderBytes+len(a.body))
	return a.body, a.err
}

// lost waits for the end of a call whose message or answer did not arrive.
func (e *Endpoint) lost(ctx context.Context) error {
	select {
	case <-ctx.Done():
		e.counters.Refused(peer.RefusedTimeout)
		return ctx.Err()
	case <-e.ctx.Done():
		return peer.ErrClosed
	}
}

// travel waits for the delay of one way and reports whether the message
// arrives.
func (e *Endpoint) travel(ctx context.Context, w way) bool {
	delay, arrives := e.network.carry(w)
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

func (e *Endpoint) awaitThaw(ctx context.Context) error {
	for {
		thawed := e.network.frozen(e.local)
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

// serve runs the handler and puts its answer into done. It reports false if
// the endpoint is closed.
func (e *Endpoint) serve(from netip.AddrPort, kind peer.Kind, body []byte, done chan<- answer) bool {
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
		a := run(e.ctx, h, from, body)
		if a.err != nil {
			e.counters.Refused(peer.RefusedHandler)
		}
		if e.awaitThaw(e.ctx) != nil {
			return
		}
		e.counters.Sent(kind, peer.AnswerHeaderBytes+len(a.body))
		done <- a
	})
	return true
}

// run gives the handler a copy of the body, as a socket would.
func run(ctx context.Context, h peer.Handler, from netip.AddrPort, body []byte) answer {
	if h == nil {
		return answer{err: peer.ErrNoHandler}
	}
	out, err := h(ctx, from, append([]byte(nil), body...))
	if err != nil {
		return answer{err: &peer.RemoteError{Text: err.Error()}}
	}
	return answer{body: append([]byte(nil), out...)}
}
