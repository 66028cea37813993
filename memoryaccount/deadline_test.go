package memoryaccount

import (
	"context"
	"errors"
	"testing"
	"time"
)

// TestAskEndsAtItsDeadline guards against a body that waits for as long as newer ones come and are
// refused before it, until after its request should have had a response.
func TestAskEndsAtItsDeadline(t *testing.T) {
	a := New(1000, shortWait)
	a.Reserve(Connections, Party{}).Force(1000)
	old, ended := a.Reserve(Bodies, party("10.0.0.1", "o")), make(chan struct{})
	result := make(chan error, 1)
	go func() { result <- old.Grow(100, time.Now().Add(10*shortWait)) }()
	awaitWaiting(t, a, 1)
	for range 30 {
		go func() {
			for {
				select {
				case <-ended:
					return
				default:
					_ = a.Reserve(Bodies, party("10.0.0.1", "o")).Grow(100, time.Now().Add(time.Hour))
				}
			}
		}()
	}
	err := receive(t, result)
	close(ended)
	if !errors.Is(err, ErrShort) {
		t.Errorf("got %v, want a refusal", err)
	}
}

// TestAskThatEndsGivesBack guards against memory that is granted at the moment at which its ask
// ends, and is then held for ever.
func TestAskThatEndsGivesBack(t *testing.T) {
	a := New(1000, time.Hour)
	taken, response := a.Reserve(Bodies, Party{}), a.Reserve(Responses, Party{})
	taken.Force(1000)
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- response.GrowPatiently(ctx, 100) }()
	awaitWaiting(t, a, 1)
	a.mu.Lock()
	cancel()
	a.add(taken, -1000)
	a.grantWaiting()
	a.mu.Unlock()
	if err := receive(t, result); err == nil {
		t.Error("got the memory, want the error of the context")
	}
	if used := a.Usage().Used; used != 0 {
		t.Errorf("%d bytes are held after the ask has ended, want none", used)
	}
}

// TestOldestResponseGoesOn guards against responses that all are half read and wait for the memory
// of each other until their deadlines.
func TestOldestResponseGoesOn(t *testing.T) {
	a := New(1000, shortWait)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	results := make(chan error)
	for range 5 {
		r := a.Reserve(Responses, party("10.0.0.1", "o"))
		r.Force(100)
		go func() {
			err := r.GrowPatiently(ctx, 300)
			r.Release()
			results <- err
		}()
	}
	for range 5 {
		if err := receive(t, results); err != nil {
			t.Errorf("a response got %v, want the memory", err)
		}
	}
	if used := a.Usage().Used; used != 0 {
		t.Errorf("%d bytes are held at the end", used)
	}
}
