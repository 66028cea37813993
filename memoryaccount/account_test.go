package memoryaccount

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"
)

const shortWait = 10 * time.Millisecond

func party(address, organisation string) Party {
	return Party{Address: netip.MustParseAddr(address), Organisation: organisation}
}

func inAnHour() time.Time { return time.Now().Add(time.Hour) }

// refuseOne refuses one of the asks that wait.
func refuseOne(a *Account) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refuseOne()
}

// awaitWaiting waits until the given number of asks wait.
func awaitWaiting(t *testing.T, a *Account, want int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); a.Usage().Waiting != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d asks wait, want %d", a.Usage().Waiting, want)
		}
	}
}

// TestOneOrganisationLeavesMemoryToOthers guards against a caller that takes all memory, so that small
// requests of others are refused.
func TestOneOrganisationLeavesMemoryToOthers(t *testing.T) {
	a := New(3000, shortWait)
	large := a.Reserve(Bodies, party("10.0.0.1", "large"))
	for large.TryGrow(100) {
	}
	if large.bytes != 2000 {
		t.Errorf("one organisation holds %d bytes of 3,000, want two thirds", large.bytes)
	}
	for n := range 9 {
		if !a.Reserve(Bodies, party("10.0.0.1", "small")).TryGrow(50) {
			t.Fatalf("the small request %d of another organisation behind the same address was refused", n)
		}
	}
}

// TestNewestOfHeaviestIsRefusedFirst guards against waits that end with the refusal of bodies that
// are nearly complete, or of those of others.
func TestNewestOfHeaviestIsRefusedFirst(t *testing.T) {
	a := New(3000, time.Hour)
	calm, old, young := a.Reserve(Bodies, party("10.0.0.2", "calm")), a.Reserve(Bodies, party("10.0.0.1", "large")), a.Reserve(Bodies, party("10.0.0.1", "large"))
	old.Force(1000)
	young.Force(1000)
	var results [3]chan error
	for n, r := range []*Reservation{calm, young, old} {
		results[n] = make(chan error, 1)
		go func() { results[n] <- r.Grow(900, inAnHour()) }()
		awaitWaiting(t, a, n+1)
	}
	refuseOne(a)
	if err := receive(t, results[1]); !errors.Is(err, ErrShort) {
		t.Errorf("the newest body of the heaviest got %v, want it to be refused", err)
	}
	young.Release()
	if err := receive(t, results[0]); err != nil {
		t.Errorf("the body of the other organisation got %v, want it to go on", err)
	}
	calm.Release()
	if err := receive(t, results[2]); err != nil {
		t.Errorf("the oldest body of the heaviest got %v, want it to go on", err)
	}
}

// receive returns the result of an ask, which must come within seconds.
func receive(t *testing.T, result <-chan error) error {
	t.Helper()
	select {
	case err := <-result:
		return err
	case <-time.After(5 * time.Second):
		t.Fatal("an ask got no result")
		return nil
	}
}

// TestWaitIsBounded guards against bodies that wait for ever while nobody gives memory back.
func TestWaitIsBounded(t *testing.T) {
	a := New(1000, shortWait)
	a.Reserve(Connections, Party{}).Force(1000)
	results := make(chan error)
	for range 20 {
		go func() { results <- a.Reserve(Bodies, party("10.0.0.1", "o")).Grow(100, inAnHour()) }()
	}
	for range 20 {
		if err := receive(t, results); !errors.Is(err, ErrShort) {
			t.Errorf("got %v, want a refusal", err)
		}
	}
	if u := a.Usage(); u.Refused[Bodies] != 20 || u.Waiting != 0 {
		t.Errorf("%d refusals are counted and %d asks wait, want 20 and 0", u.Refused[Bodies], u.Waiting)
	}
}

// TestPatientAskIsNeverRefused guards against work that was passed on and is given up for memory.
func TestPatientAskIsNeverRefused(t *testing.T) {
	a := New(1000, shortWait)
	taken := a.Reserve(Bodies, party("10.0.0.1", "o"))
	taken.Force(1000)
	response := a.Reserve(Responses, party("10.0.0.1", "o"))
	granted := make(chan error, 1)
	go func() { granted <- response.GrowPatiently(context.Background(), 100) }()
	awaitWaiting(t, a, 1)
	refuseOne(a)
	taken.Release()
	if err := receive(t, granted); err != nil {
		t.Errorf("got %v, want the memory", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := response.GrowPatiently(ctx, 1000); err == nil {
		t.Error("a response whose caller has left got memory that is not there")
	}
	if response.Release(); a.Usage() != (Usage{Capacity: 1000}) {
		t.Errorf("after all was given back: %+v", a.Usage())
	}
}
