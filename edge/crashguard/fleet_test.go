package crashguard

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// round is the time between two rounds of datagrams of the simulated fleet.
const round = 100 * time.Millisecond

// fleet is a number of instances that exchange reports in virtual time.
type fleet struct {
	instances []*Guard
	random    *rand.Rand
	now       time.Time
	// cycle is the number of rounds in which each instance reaches each other one.
	cycle int
	// inFlight holds the reports that arrive in the next round, by recipient.
	inFlight map[int][][]Report
	rounds   int
	// crashes holds the ends of servers that are yet to come, with their rounds.
	crashes []pendingCrash
	// sent holds the times at which bad requests reached servers, and ended those at
	// which the servers ended.
	sent, ended []time.Time
	nextID      uint64
}

// pendingCrash is the end of a server in a later round.
type pendingCrash struct {
	round  int
	happen func()
}

// crashRounds is the time from a bad request's arrival at a server to the server's end: the
// prompt waits and is read first.
const crashRounds = 7

func newFleet(size, cycle int, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 0)), now: startTime, cycle: cycle, inFlight: map[int][][]Report{}, nextID: 1000}
	for range size {
		f.instances = append(f.instances, New(Options{Seed: f.random.Uint64(), Instances: func() int { return size }}))
	}
	return f
}

// exchange delivers the datagrams of the last round and sends those of the next one. One
// in twenty is lost.
func (f *fleet) exchange() {
	f.now = f.now.Add(round)
	for to := range f.instances {
		for _, reports := range f.inFlight[to] {
			f.instances[to].Receive(reports, f.now)
		}
	}
	clear(f.inFlight)
	f.rounds++
	for len(f.crashes) > 0 && f.crashes[0].round <= f.rounds {
		f.crashes[0].happen()
		f.crashes = f.crashes[1:]
	}
	for from, g := range f.instances {
		reports := g.Reports(f.now)
		if reports == nil {
			continue
		}
		for to := (from + f.rounds) % f.cycle; to < len(f.instances); to += f.cycle {
			if to != from && f.random.IntN(20) > 0 {
				f.inFlight[to] = append(f.inFlight[to], reports)
			}
		}
	}
}

func (f *fleet) newID() uint64 {
	f.nextID++
	return f.nextID
}

func (f *fleet) any() *Guard { return f.instances[f.random.IntN(len(f.instances))] }

// sendBad sends a request with the bad part, unless it is withheld. The server that it
// reaches ends a little later, and holds a few other requests then.
func (f *fleet) sendBad() { f.sendBadTo(f.any()) }

func (f *fleet) sendBadTo(g *Guard) {
	prompt := []uint64{firstPart, badPart}
	if _, withheld := g.Withheld(prompt, f.now); withheld {
		return
	}
	f.sent = append(f.sent, f.now)
	server := f.newID()
	f.crashes = append(f.crashes, pendingCrash{f.rounds + crashRounds, func() {
		f.ended = append(f.ended, f.now)
		g.RecordCrash(server, prompt, f.now)
		for range f.random.IntN(6) {
			f.any().RecordCrash(server, f.soundPrompt(), f.now)
		}
	}})
}

// checkSends fails the test if more bad requests reached servers later than 3 s after the
// fifth end than the rules allow.
func (f *fleet) checkSends(t *testing.T) {
	t.Helper()
	after := 0
	for _, when := range f.sent {
		if len(f.ended) >= 5 && when.After(f.ended[4].Add(3*time.Second)) {
			after++
		}
	}
	t.Logf("%d bad requests reached servers, %d of them late", len(f.sent), after)
	if after > 3 {
		t.Errorf("%d bad requests reached servers later than 3 s after the fifth end, want at most 3", after)
	}
}

// soundPrompt returns the shared parts of a sound request. Half of the second parts are new.
func (f *fleet) soundPrompt() []uint64 {
	second := f.newID()
	if f.random.IntN(2) == 0 {
		second = 100 + f.random.Uint64N(30)
	}
	return []uint64{firstPart, second}
}

// seeds returns the number of seeds per case.
func seeds() uint64 {
	if testing.Short() {
		return 2
	}
	return 5
}

// TestBurstOfBadRequestsIsTriedOnceOrTwice guards against tries by many instances at once:
// bad requests come ten times a second for so long that the part is tried twice.
func TestBurstOfBadRequestsIsTriedOnceOrTwice(t *testing.T) {
	const rounds = int((20 * time.Minute) / round)
	for seed := range seeds() {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			f := newFleet(7, 5, seed)
			for range rounds {
				f.exchange()
				f.sendBad()
			}
			f.checkSends(t)
		})
	}
}

// TestFleetStopsSendingBadPart guards against evidence that stays with the instance that
// saw it: each of many instances would send the part until it had seen three servers end.
// Sound requests with the same first part must go on all the while.
func TestFleetStopsSendingBadPart(t *testing.T) {
	const fewInstances, manyInstances = 7, 400
	// Each instance reaches each other one once in so many rounds.
	for _, cycle := range []int{1, 3, 5} {
		for _, size := range []int{fewInstances, manyInstances} {
			if size == manyInstances && (cycle == 1 || testing.Short()) {
				continue
			}
			for seed := range uint64(3) {
				name := fmt.Sprintf("instances=%d/cycle=%d/seed=%d", size, cycle, seed)
				t.Run(name, func(t *testing.T) { runBadPart(t, newFleet(size, cycle, seed)) })
			}
		}
	}
}

// runBadPart plays twenty seconds with one bad request a second.
func runBadPart(t *testing.T, f *fleet) {
	const (
		seconds      = 20
		roundsPerBad = 10
		// The rules allow three requests after the fifth crash.
		maxReached    = 5 + 3
		soundPerRound = 10
	)
	refused := 0
	for n := range seconds * roundsPerBad {
		f.exchange()
		for range soundPerRound {
			g, prompt := f.any(), f.soundPrompt()
			if _, withheld := g.Withheld(prompt, f.now); withheld {
				refused++
				continue
			}
			g.RecordAnswered(prompt, f.now)
		}
		if n%roundsPerBad == 0 {
			f.sendBad()
		}
	}
	f.checkSends(t)
	if len(f.sent) > maxReached {
		t.Errorf("%d bad requests reached servers, want at most %d", len(f.sent), maxReached)
	}
	if refused > 0 {
		t.Errorf("%d sound requests were refused, want none", refused)
	}
}

// TestFleetOutlivesCrashOfAFifthOfTheServers guards against sound parts that are shut out
// by ordinary crashes: many servers end at once, with a hot first part on all of them, and
// with other parts that no instance has seen answered.
func TestFleetOutlivesCrashOfAFifthOfTheServers(t *testing.T) {
	const (
		perRound = 10
		// The requests at the other servers are answered within answersWithin rounds.
		answersWithin = 20
		// settled is when the rules judge sound requests: twice contact_ms, 3 s.
		settled = int(6 * time.Second / round)
		// Without these answers, all go on after the first withholding and the turns.
		triesEnd = int((10*time.Second + time.Minute + 5*time.Second) / round)
	)
	for _, inFlightElsewhere := range []bool{true, false} {
		for seed := range seeds() {
			t.Run(fmt.Sprintf("in_flight_elsewhere=%v/seed=%d", inFlightElsewhere, seed), func(t *testing.T) {
				f := newFleet(40, 4, seed)
				// One answer only: most instances don't know the first part.
				f.any().RecordAnswered([]uint64{firstPart}, f.now)
				for range 120 {
					server := f.newID()
					for range 4 {
						f.any().RecordCrash(server, f.soundPrompt(), f.now)
					}
				}
				first, late := 0, 0
				for n := range triesEnd + 100 {
					f.exchange()
					if inFlightElsewhere && n < answersWithin {
						f.any().RecordAnswered([]uint64{firstPart, 100 + 2*uint64(n)%30, 101 + 2*uint64(n)%30}, f.now)
					}
					for range perRound {
						g, prompt := f.any(), f.soundPrompt()
						part, withheld := g.Withheld(prompt, f.now)
						switch {
						case !withheld:
							g.RecordAnswered(prompt, f.now)
						case part.Key == firstPart && n >= 10:
							first++
						case n >= triesEnd, inFlightElsewhere && n >= settled:
							late++
						}
					}
				}
				if first > 0 || late > 0 {
					t.Errorf("%d requests were refused for the first part later than 1 s, %d for the other parts; want none", first, late)
				}
			})
		}
	}
}
