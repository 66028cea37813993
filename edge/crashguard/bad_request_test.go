package crashguard

import (
	"fmt"
	"testing"
	"time"
)

// badRequest is the key of a request that ends each server that runs it.
var badRequest = RequestKey(77)

// sendBadRequest sends the bad request, unless it is withheld, and once more when its server
// has ended. That server holds a few other requests then, which come only once.
func (f *fleet) sendBadRequest(g *Guard, attempts int) {
	keys := []uint64{badRequest}
	if _, withheld := g.Withheld(keys, f.now); withheld {
		return
	}
	f.sent = append(f.sent, f.now)
	server := f.newID()
	f.crashes = append(f.crashes, pendingCrash{f.rounds + 1, func() {
		f.ended = append(f.ended, f.now)
		g.RecordCrash(server, keys, f.now)
		for range f.random.IntN(6) {
			f.any().RecordCrash(server, []uint64{RequestKey(f.newID())}, f.now)
		}
		if attempts > 1 {
			f.sendBadRequest(g, attempts-1)
		}
	}})
}

// TestFleetStopsSendingBadRequest guards against a request that ends servers and comes again at
// other instances, beside servers that end for reasons of their own with many requests.
func TestFleetStopsSendingBadRequest(t *testing.T) {
	const (
		seconds = 100
		// A large fleet takes long to simulate.
		secondsIfLarge = 6
		// maxLate is the number of sends that the rules allow later than noticeTime after the
		// third end.
		maxLate    = 3
		noticeTime = 3 * time.Second
	)
	for _, size := range []int{1, 7, 400} {
		if size == 400 && testing.Short() {
			continue
		}
		for _, roundsPerBad := range []int{2, 10, 40} {
			for seed := range uint64(2) {
				length := seconds
				if size == 400 {
					length = secondsIfLarge
				}
				t.Run(fmt.Sprintf("instances=%d/rounds_per_bad=%d/seed=%d", size, roundsPerBad, seed), func(t *testing.T) {
					t.Parallel()
					f := newFleet(size, 3, seed)
					for n := range length * 10 {
						f.exchange()
						if n%roundsPerBad == 0 {
							f.sendBadRequest(f.any(), 2)
						}
						if n%50 == 0 {
							f.endOrdinaryServers()
						}
					}
					late := 0
					for _, when := range f.sent {
						if len(f.ended) > 2 && when.After(f.ended[2].Add(noticeTime)) {
							late++
						}
					}
					if late > maxLate {
						t.Errorf("%d of %d sends came later than 3 s after the third end, want at most %d", late, len(f.sent), maxLate)
					}
				})
			}
		}
	}
}

// endOrdinaryServers ends ten servers that hold seven requests each.
func (f *fleet) endOrdinaryServers() {
	for range 10 {
		server := f.newID()
		for range 7 {
			f.any().RecordCrash(server, []uint64{RequestKey(f.newID())}, f.now)
		}
	}
}

// TestRequestIsBlamedBeforeItsParts guards against a sound part that is withheld, or a sound
// request, because of which of the two several servers ended under can't be told at first.
func TestRequestIsBlamedBeforeItsParts(t *testing.T) {
	g := newGuard(0)
	crash := func(servers int, request uint64) {
		for range servers {
			g.RecordCrash(g.random.Uint64()>>32, []uint64{badPart, RequestKey(request)}, at(0))
		}
	}
	crash(3, 1)
	if isWithheld(g, badPart, at(0)) || !isWithheld(g, RequestKey(1), at(0)) {
		t.Error("after the same request ended three servers: want it withheld, and not its part")
	}
	crash(1, 2)
	if !isWithheld(g, badPart, at(0)) || isWithheld(g, RequestKey(2), at(0)) {
		t.Error("after another request with the part ended a fourth one: want the part withheld, and not that request")
	}
}

// TestAnsweredRequestIsNotWithheld guards against a hot, sound request that is withheld since
// it was in flight at many servers that ended.
func TestAnsweredRequestIsNotWithheld(t *testing.T) {
	g := newGuard(0)
	hot := []uint64{RequestKey(5)}
	g.RecordAnswered(hot, at(0))
	for server := range uint64(9) {
		g.RecordCrash(server, hot, at(time.Second))
	}
	if isWithheld(g, hot[0], at(2*time.Second)) {
		t.Error("withheld although it was answered just before")
	}
}

// TestOneOffRequestsDoNotCrowdOutParts guards against parts and repeated requests that are
// forgotten because servers ended under many requests that come only once.
func TestOneOffRequestsDoNotCrowdOutParts(t *testing.T) {
	g := newGuard(0)
	for server := range uint64(2) {
		g.RecordCrash(server, []uint64{badPart, badRequest}, at(0))
	}
	for n := range uint64(3 * maxRequests) {
		g.RecordCrash(100+n/7, []uint64{RequestKey(1000 + n)}, at(time.Second))
		g.RecordAnswered([]uint64{RequestKey(1_000_000 + n)}, at(time.Second))
	}
	if len(g.suspects) > maxParts+maxRequests {
		t.Errorf("%d suspects are kept, want at most %d", len(g.suspects), maxParts+maxRequests)
	}
	if !g.Suspected([]uint64{badPart}, at(time.Second)) || !g.Suspected([]uint64{badRequest}, at(time.Second)) {
		t.Error("the part or the request under which two servers ended was forgotten")
	}
}
