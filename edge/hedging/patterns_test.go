package hedging

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	testShare  = 0.05
	usualDelay = 50 * time.Millisecond
	testTarget = 400 * time.Millisecond
	never      = time.Hour
)

// world sends requests to servers in virtual time. Each server answers after a delay that
// follows from the pattern under test.
type world struct {
	c      *Controller
	random *rand.Rand
	now    time.Time
	// delay is how long a server takes for one request, or never.
	delay func(server uint64) time.Duration
	load  Load
	// hedgedAt counts the second attempts by the server that was slow.
	hedgedAt       map[uint64]int
	sends, seconds int
	longest        time.Duration
}

const testServers = 10

func newWorld(l Limits) *world {
	w := &world{c: New(l), random: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1_700_000_000, 0), hedgedAt: make(map[uint64]int)}
	w.load = Load{Running: 10, Slots: 100, SecondRunning: 1, SecondSlots: 10, SecondDelay: usualDelay}
	w.usual()
	return w
}

// usual has all servers answer after 0.5 to 1.5 times the usual delay.
func (w *world) usual() {
	w.delay = func(uint64) time.Duration { return w.around(usualDelay) }
}

func (w *world) around(d time.Duration) time.Duration {
	return time.Duration((0.5 + w.random.Float64()) * float64(d))
}

// run sends n requests, one each 20 ms, and resets the counts before.
func (w *world) run(n int) {
	w.sends, w.seconds, w.longest = 0, 0, 0
	clear(w.hedgedAt)
	for range n {
		w.now = w.now.Add(20 * time.Millisecond)
		w.send()
	}
}

func (w *world) send() {
	w.sends++
	s := Send{
		Class: Class{Service: "s", Kind: "safe", Size: Small}, Route: "r", Server: 1 + w.random.Uint64N(testServers),
		Expected: usualDelay, Slowness: 1, Target: testTarget, MayHedge: true,
	}
	plan := w.c.Begin(&s, w.now)
	after := plan.After
	delay := w.delay(s.Server)
	took := delay
	for elapsed, first := after, true; after > 0 && elapsed < min(delay, time.Second); first = false {
		d := w.c.Ask(&s, plan, elapsed, first, w.now.Add(elapsed))
		if d.Reason == Hedge {
			why := Judge(w.load, after)
			if why == Hedge {
				w.seconds++
				w.hedgedAt[s.Server]++
				took = min(delay, elapsed+w.around(usualDelay))
				break
			}
			w.c.Return(&s, why, first, w.now.Add(elapsed))
		}
		elapsed += d.LookAgain
	}
	w.longest = max(w.longest, took)
	switch {
	case took < delay:
		w.c.Outrun(&s, took, w.now.Add(took))
	case delay < never:
		w.c.Answered(&s, delay, w.now.Add(delay))
	}
}

func (w *world) expectAtMost(t *testing.T, seconds int) {
	t.Helper()
	if w.seconds > seconds {
		t.Errorf("got %d second attempts of %d requests, want at most %d", w.seconds, w.sends, seconds)
	}
}

// TestColdStartHedgesNothing guards against second attempts by a delay that was learnt on few
// answers, at the start and for a server, kind and service not seen before.
func TestColdStartHedgesNothing(t *testing.T) {
	w := newWorld(Limits{All: 0.2})
	w.run(minAnswers - 1)
	w.delay = func(uint64) time.Duration { return never }
	w.run(20)
	w.expectAtMost(t, 0)
	s := Send{Class: Class{Service: "other", Kind: "safe", Size: Small}, Server: 99, Expected: usualDelay, Slowness: 1, MayHedge: true}
	if after := w.c.Begin(&s, w.now).After; after != 0 {
		t.Errorf("a service without answers is hedged after %v, want never", after)
	}
}

// TestWhatIsOldIsForgotten guards against a delay that was learnt before a long pause.
func TestWhatIsOldIsForgotten(t *testing.T) {
	w := newWorld(Limits{All: testShare})
	w.run(500)
	w.now = w.now.Add(2*delayWindow + time.Second)
	s := Send{Class: Class{Service: "s", Kind: "safe", Size: Small}, Server: 1, Expected: usualDelay, Slowness: 1, MayHedge: true}
	if after := w.c.Begin(&s, w.now).After; after != 0 {
		t.Errorf("an answer is slow after %v by what was learnt a minute ago, want never", after)
	}
}

// TestSlowServerIsHedged guards against a slow server whose answers nothing cuts, and against
// second attempts at the cost of sound ones.
func TestSlowServerIsHedged(t *testing.T) {
	w := newWorld(Limits{All: testShare})
	w.run(1000)
	w.delay = func(server uint64) time.Duration {
		if server == 3 && w.random.IntN(3) == 0 {
			return 20 * usualDelay
		}
		return w.around(usualDelay)
	}
	w.run(1000)
	if w.hedgedAt[3] < 20 || w.hedgedAt[3] < w.seconds/2 {
		t.Errorf("got %d second attempts for the slow server of %d, want 20 and half of all at least", w.hedgedAt[3], w.seconds)
	}
}

// TestSlowFleetIsNotHedged guards against second attempts that double the work of servers that
// are all slow, whether they answer late or not at all.
func TestSlowFleetIsNotHedged(t *testing.T) {
	for name, delay := range map[string]time.Duration{"late": 10 * usualDelay, "silent": never} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(Limits{All: testShare})
			w.run(1000)
			w.delay = func(uint64) time.Duration { return delay }
			w.run(1000)
			// Half of the servers must have been late twice before the fleet counts as slow.
			w.expectAtMost(t, 2*testServers)
			w.usual()
			w.run(2000)
			w.delay = func(server uint64) time.Duration {
				if server == 3 {
					return never
				}
				return w.around(usualDelay)
			}
			w.run(500)
			if w.seconds == 0 {
				t.Error("got no second attempts for a silent server after the fleet had recovered")
			}
		})
	}
}

// TestLostAnswersAreCut guards against requests that wait for an answer that was lost, although
// the limit leaves room for them.
func TestLostAnswersAreCut(t *testing.T) {
	w := newWorld(Limits{All: testShare})
	w.run(1000)
	w.delay = func(uint64) time.Duration {
		if w.random.IntN(50) == 0 {
			return never
		}
		return w.around(usualDelay)
	}
	w.run(2000)
	if w.longest > testTarget {
		t.Errorf("the slowest answer took %v, want at most %v", w.longest, testTarget)
	}
	w.expectAtMost(t, int(testShare*3000))
}

// TestFullFleetIsNotHedged guards against second attempts while there is no room for them.
func TestFullFleetIsNotHedged(t *testing.T) {
	for name, change := range map[string]func(*Load){
		"places":         func(l *Load) { l.Running = 80 },
		"second server":  func(l *Load) { l.SecondRunning = 8 },
		"memory":         func(l *Load) { l.SecondMemory = 0.8 },
		"waiting work":   func(l *Load) { l.MeanBacklog = 400 * time.Millisecond },
		"long prompt":    func(l *Load) { l.SecondPrompt = 10_000 },
		"slower instead": func(l *Load) { l.SecondDelay = 10 * usualDelay },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(Limits{All: testShare})
			w.run(1000)
			change(&w.load)
			w.delay = func(uint64) time.Duration {
				if w.random.IntN(50) == 0 {
					return never
				}
				return w.around(usualDelay)
			}
			w.run(1000)
			w.expectAtMost(t, 0)
			for key, window := range w.c.windows {
				if got := window.seconds; got != [limitBuckets]int{} {
					t.Errorf("the limit %+v counts %v second attempts that did not begin", key, got)
				}
			}
		})
	}
}

// TestLimitHolds guards against more second attempts than the operators accept in any window,
// and against a limit that is taken for another route or service.
func TestLimitHolds(t *testing.T) {
	for name, c := range map[string]struct {
		limits Limits
		share  float64
	}{
		"all":                    {Limits{All: 0.02}, 0.02},
		"service":                {Limits{All: 0.2, Services: map[string]float64{"s": 0.01}}, 0.01},
		"route":                  {Limits{All: 0.2, Services: map[string]float64{"s": 0.2}, Routes: map[string]float64{"r": 0.01}}, 0.01},
		"none for the route":     {Limits{All: 0.2, Routes: map[string]float64{"r": 0}}, 0},
		"none":                   {Limits{}, 0},
		"only another service's": {Limits{Services: map[string]float64{"other": 0.2}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(c.limits)
			w.run(1000)
			// A fifth of the answers of some servers are lost, so more would be hedged.
			w.delay = func(server uint64) time.Duration {
				if server <= 4 && w.random.IntN(2) == 0 {
					return never
				}
				return w.around(usualDelay)
			}
			requests, seconds := 1000, 0
			for range 6 {
				w.run(int(limitWindow / (20 * time.Millisecond)))
				requests, seconds = requests+w.sends, seconds+w.seconds
				if float64(seconds) > c.share*float64(requests) {
					t.Errorf("got %d second attempts of %d requests, want at most the share %v", seconds, requests, c.share)
				}
				if c.share > 0 && w.seconds == 0 {
					t.Error("got no second attempts, want some")
				}
			}
		})
	}
}

// TestHistogramsAreBounded guards against memory that grows with the servers, and against a
// server's own delays that are not used.
func TestHistogramsAreBounded(t *testing.T) {
	w := newWorld(Limits{All: testShare})
	for server := range uint64(2000) {
		s := Send{Class: Class{Service: "s", Kind: "safe", Size: Small}, Server: server, Expected: usualDelay, Slowness: 1, MayHedge: true}
		w.now = w.now.Add(time.Millisecond)
		w.c.Answered(&s, usualDelay, w.now)
	}
	if n := len(w.c.delays.histograms); n > maxHistograms {
		t.Errorf("got %d histograms, want at most %d", n, maxHistograms)
	}
	s := Send{Class: Class{Service: "s", Kind: "safe", Size: Small}, Server: 1999, Expected: usualDelay, Slowness: 1, MayHedge: true}
	for range minAnswers {
		w.c.Answered(&s, 6*usualDelay, w.now)
	}
	if after := w.c.Begin(&s, w.now).After; after < 5*usualDelay {
		t.Errorf("a server that always takes %v is hedged after %v", 6*usualDelay, after)
	}
}

// TestQuietServiceLearns guards against a service with few requests whose histograms are dropped
// for those of single servers of a busy one, so that it never gets a second attempt.
func TestQuietServiceLearns(t *testing.T) {
	c := New(Limits{All: testShare})
	now := time.Unix(1_700_000_000, 0)
	quiet := Send{Class: Class{Service: "quiet", Kind: "safe", Size: Small}, Server: 1, Expected: usualDelay, Slowness: 1, MayHedge: true}
	for n := range uint64(600 * minAnswers) {
		busy := Send{Class: Class{Service: "busy", Kind: "safe", Size: Small}, Server: 2 + n%600, Expected: usualDelay, Slowness: 1}
		now = now.Add(time.Millisecond)
		c.Answered(&busy, usualDelay, now)
		if n%300 == 0 {
			c.Answered(&quiet, usualDelay, now)
		}
	}
	if after := c.Begin(&quiet, now).After; after == 0 {
		t.Error("a service with 40 answers in 12 s has learnt no delay")
	}
}

// TestServersThatAreGoneAreForgotten guards against memory that grows with each start of a server
// while nothing is slow.
func TestServersThatAreGoneAreForgotten(t *testing.T) {
	w := newWorld(Limits{All: testShare})
	w.run(100)
	for server := range uint64(5000) {
		s := Send{Class: Class{Service: "s", Kind: "safe", Size: Small}, Server: 100 + server, Expected: usualDelay, Slowness: 1, MayHedge: true}
		w.now = w.now.Add(20 * time.Millisecond)
		w.c.Begin(&s, w.now)
		w.c.Answered(&s, usualDelay, w.now)
	}
	if n := len(w.c.fleets["s"].servers); n > 1000 {
		t.Errorf("got %d servers, want those of the last seconds", n)
	}
}
