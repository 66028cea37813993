package crashguard

import (
	"fmt"
	"testing"
	"time"
)

// TestBadPartThatReturnsTogetherIsTriedByFew guards against tries by all instances at once:
// the part pauses until each instance's turn has begun, and then comes to each of them.
func TestBadPartThatReturnsTogetherIsTriedByFew(t *testing.T) {
	for seed := range seeds() {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			f := newFleet(7, 1, seed)
			f.endServers(t)
			f.pause(time.Minute)
			for _, g := range f.instances {
				f.sendBadTo(g)
			}
			f.pause(2 * time.Second)
			f.checkSends(t)
		})
	}
}

// TestBadPartThatReturnsAfterMinutesIsTriedByFew guards against a fleet that forgets a part
// under which five servers ended: three more must end before it is withheld again.
func TestBadPartThatReturnsAfterMinutesIsTriedByFew(t *testing.T) {
	const (
		pause        = 140 * time.Second
		roundsPerBad = 3
	)
	for seed := range seeds() {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			f := newFleet(7, 1, seed)
			f.endServers(t)
			f.pause(pause)
			for range 20 {
				f.sendBad()
				for range roundsPerBad {
					f.exchange()
				}
			}
			f.checkSends(t)
		})
	}
}

// TestPartThatWasNotWithheldHasNoFailedTry guards against ten minutes for a sound part: a
// server ends under it by chance after another part had explained its first ends.
func TestPartThatWasNotWithheldHasNoFailedTry(t *testing.T) {
	g := newGuard(0)
	for n := range uint64(3) {
		g.RecordCrash(n, []uint64{otherPart, badPart}, at(0))
	}
	g.RecordCrash(3, []uint64{badPart}, at(0))
	if isWithheld(g, otherPart, at(time.Second)) {
		t.Fatal("the explained part is withheld")
	}
	g.RecordCrash(4, []uint64{otherPart}, at(11*time.Second))
	if got, withheld := g.Withheld([]uint64{otherPart}, at(12*time.Second)); withheld {
		t.Errorf("withheld for %v with %d failed tries, want not withheld: one server ended that is not explained", got.For, got.FailedTries)
	}
}

// endServers has five servers end under the bad part.
func (f *fleet) endServers(t *testing.T) {
	t.Helper()
	for range 5 {
		f.sendBad()
	}
	f.pause(2 * time.Second)
	if len(f.ended) != 5 {
		t.Fatalf("%d servers ended, want 5", len(f.ended))
	}
}

// pause lets time pass without requests.
func (f *fleet) pause(d time.Duration) {
	for range int(d / round) {
		f.exchange()
	}
}
