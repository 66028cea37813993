package streamorigin

import (
	"context"
	"sync"
)

// reader reads the store for several callers at once. Each gets a result that was read after
// the caller had asked.
type reader struct {
	store Store

	mu      sync.Mutex
	current *readCall
}

// readCall is one call to the store. stored and err are set once done is closed.
type readCall struct {
	done   chan struct{}
	stored Stored
	err    error
}

// read returns what is stored now.
func (r *reader) read(ctx context.Context) (Stored, error) {
	r.mu.Lock()
	earlier := r.current
	r.mu.Unlock()
	if earlier != nil {
		// It may have been answered before the caller asked.
		if err := earlier.wait(ctx); err != nil {
			return Stored{}, err
		}
	}
	call := r.join(earlier)
	if err := call.wait(ctx); err != nil {
		return Stored{}, err
	}
	return call.stored, call.err
}

// join returns the current call, unless that is the earlier one. It begins one if there is none.
func (r *reader) join(earlier *readCall) *readCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current != nil && r.current != earlier {
		return r.current
	}
	call := &readCall{done: make(chan struct{})}
	r.current = call
	go r.run(call)
	return call
}

// run makes a call. It doesn't end with the context of one caller, because others wait too.
func (r *reader) run(call *readCall) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	call.stored, call.err = r.store.ReadOrigins(ctx)
	r.mu.Lock()
	if r.current == call {
		r.current = nil
	}
	r.mu.Unlock()
	close(call.done)
}

func (c *readCall) wait(ctx context.Context) error {
	select {
	case <-c.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
