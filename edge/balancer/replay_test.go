package balancer

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/rendezvous"
)

// This file replays loads in virtual time against engines that read prompts one
// after another, keep what they read and batch the rest. Several instances
// choose, each on its own table and the others' reports, which are late.

// chooser is a policy under test at one instance.
type chooser interface {
	// choose says where the request goes, or why it is turned away.
	choose(r Request, servers []catalog.BackendServer, now time.Time) (Attempt, outcome.Reason)
	begin(a *Attempt, r Request, now time.Time)
	first(a *Attempt, now time.Time)
	end(a *Attempt, result AttemptResult, now time.Time)
}

// tableChooser is the product's own policy.
type tableChooser struct{ table *Balancer }

func (c tableChooser) choose(r Request, servers []catalog.BackendServer, now time.Time) (Attempt, outcome.Reason) {
	a, _ := c.table.Choose(r, servers, now)
	reason, _ := c.table.Admit(r, a, now)
	return a, reason
}
func (c tableChooser) begin(a *Attempt, r Request, now time.Time) { c.table.BeginAttempt(a, r, now) }
func (c tableChooser) first(a *Attempt, now time.Time)            { c.table.RecordFirstEvent(a, now) }
func (c tableChooser) end(a *Attempt, result AttemptResult, now time.Time) {
	c.table.EndAttempt(a, result, now)
}

// hashChooser is the policy to beat: rendezvous hashing of the last shared
// part, passing over a server whose requests, as this instance sees them, are
// over 1.5 times the mean plus 3; the fewest requests without a prompt.
type hashChooser struct{ running map[uint64]int }

func (c hashChooser) choose(r Request, servers []catalog.BackendServer, _ time.Time) (Attempt, outcome.Reason) {
	total := 0
	for _, s := range servers {
		total += c.running[ServerKey(s)]
	}
	bound := 1.5*float64(total)/float64(len(servers)) + 3
	shared := r.sharedParts()
	best, bestWeight := -1, uint64(0)
	for i, s := range servers {
		key := ServerKey(s)
		if float64(c.running[key]) > bound {
			continue
		}
		weight := ^uint64(c.running[key])
		if len(shared) > 0 {
			weight = rendezvous.Weight(shared[len(shared)-1].ID, key)
		}
		if best < 0 || weight > bestWeight {
			best, bestWeight = i, weight
		}
	}
	best = max(best, 0)
	return Attempt{Server: servers[best], Key: ServerKey(servers[best])}, outcome.ReasonNone
}
func (c hashChooser) begin(a *Attempt, _ Request, _ time.Time)     { c.running[a.Key]++ }
func (c hashChooser) first(*Attempt, time.Time)                    {}
func (c hashChooser) end(a *Attempt, _ AttemptResult, _ time.Time) { c.running[a.Key]-- }

// engineSim reads prompts in the order in which they came.
type engineSim struct {
	freeAt time.Time
	kept   map[uint64]bool
	slow   float64
	// failing is the share of its requests that it fails at once.
	failing float64
}

// take returns when the request's first event comes.
func (e *engineSim) take(r Request, now time.Time) time.Time {
	unread := r.PromptTokens
	leading := true
	for _, p := range r.PrefixBlocks {
		if leading && e.kept[p.ID] {
			unread -= p.Tokens
			continue
		}
		leading = false
		e.kept[p.ID] = true
	}
	start := now
	if e.freeAt.After(start) {
		start = e.freeAt
	}
	e.freeAt = start.Add(time.Duration(float64(unread) / 47 * e.slow * float64(time.Millisecond)))
	return e.freeAt.Add(60 * time.Millisecond)
}

// happening is something that is due at a time.
type happening struct {
	at  time.Time
	do  func(now time.Time)
	seq int
}

type happenings []happening

func (h happenings) Len() int { return len(h) }
func (h happenings) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *happenings) Push(x any)   { *h = append(*h, x.(happening)) }
func (h *happenings) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// kindOfLoad is one kind of request of a load.
type kindOfLoad struct {
	perSecond    float64
	objective    time.Duration
	sharedTokens int
	things       int
	ownTokens    int
	runs         time.Duration
	// position is that of a Request.
	position int
}

// load is what is replayed.
type load struct {
	seconds   float64
	engines   int
	instances int
	kinds     []kindOfLoad
	// prepare changes engines before the start.
	prepare func(engines []*engineSim)
	// reportEvery is the time between two reports in seconds, or 0 for 0.1.
	reportEvery float64
	// cut, if set, tells whether an engine is out of an instance's reach.
	cut func(instance, engine int, now time.Time) bool
}

// outcomeOfLoad is what callers and engines saw.
type outcomeOfLoad struct {
	asked, onTime, failed int
	reread                int
	// kinds are the outcomes of each kind of request.
	kinds []outcomeOfKind
}

type outcomeOfKind struct{ asked, onTime, turnedAway int }

func (o outcomeOfKind) share() float64 { return float64(o.onTime) / float64(o.asked) }

func (o outcomeOfLoad) String() string {
	text := fmt.Sprintf("asked %d, on time %.3f, failed %.3f, reread %d tokens",
		o.asked, o.share(o.onTime), o.share(o.failed), o.reread)
	for _, k := range o.kinds {
		text += fmt.Sprintf("; %d %.3f (%d away)", k.asked, k.share(), k.turnedAway)
	}
	return text
}

func (o outcomeOfLoad) share(n int) float64 { return float64(n) / float64(o.asked) }

// replay plays the load with a policy at each instance. Report is called to
// carry reports between the instances, or nil.
func replay(l load, seed uint64, policies []chooser, report func(now time.Time)) outcomeOfLoad {
	random := rand.New(rand.NewPCG(seed, 7))
	start := time.Unix(1_000_000, 0)
	var queue happenings
	seq := 0
	push := func(at time.Time, do func(now time.Time)) {
		seq++
		heap.Push(&queue, happening{at, do, seq})
	}
	engines := make([]*engineSim, l.engines)
	servers := make([]catalog.BackendServer, l.engines)
	index := make(map[uint64]int)
	for i := range engines {
		engines[i] = &engineSim{kept: make(map[uint64]bool), slow: 1}
		servers[i] = catalog.BackendServer{
			ID: fmt.Sprintf("s%d", i), Slots: 64, DataCentre: fmt.Sprintf("dc%d", i%4), Service: "m",
		}
		index[ServerKey(servers[i])] = i
	}
	if l.prepare != nil {
		l.prepare(engines)
	}
	out := outcomeOfLoad{kinds: make([]outcomeOfKind, len(l.kinds))}
	read := make(map[uint64]bool)
	ask := func(kind int, thing uint64, own uint64, now time.Time) {
		k := l.kinds[kind]
		out.asked++
		out.kinds[kind].asked++
		instance := random.IntN(l.instances)
		r := Request{
			Service: catalog.Service{Name: "m", Slots: 64, MemoryTokens: 600_000, EventTokens: 4}, LatencyTarget: k.objective,
			PriorityIndex: k.position, PriorityLevels: 3, PromptTokens: k.sharedTokens + k.ownTokens,
			PrefixBlocks: []PrefixBlock{{ID: thing, Tokens: k.sharedTokens}, {ID: own, Tokens: k.ownTokens}},
		}
		a, reason := policies[instance].choose(r, servers, now)
		if reason != outcome.ReasonNone {
			out.kinds[kind].turnedAway++
			return
		}
		i := index[a.Key]
		e := engines[i]
		policies[instance].begin(&a, r, now)
		if l.cut != nil && l.cut(instance, i, now) {
			out.failed++
			push(now.Add(250*time.Millisecond), func(now time.Time) { policies[instance].end(&a, NoResponse, now) })
			return
		}
		if random.Float64() < e.failing {
			out.failed++
			push(now.Add(2*time.Millisecond), func(now time.Time) { policies[instance].end(&a, Failed, now) })
			return
		}
		if read[thing] && !e.kept[thing] {
			out.reread += k.sharedTokens
		}
		read[thing] = true
		first := e.take(r, now)
		if first.Sub(now) <= k.objective {
			out.onTime++
			out.kinds[kind].onTime++
		}
		unreached := func(now time.Time) bool { return l.cut != nil && l.cut(instance, i, now) }
		push(first, func(now time.Time) {
			if !unreached(now) {
				policies[instance].first(&a, now)
			}
		})
		push(first.Add(k.runs), func(now time.Time) {
			if unreached(now) {
				policies[instance].end(&a, NoResponse, now)
				return
			}
			policies[instance].end(&a, Succeeded, now)
		})
	}
	var own uint64 = 1 << 32
	for n, k := range l.kinds {
		at := 0.0
		for {
			at += random.ExpFloat64() / k.perSecond
			if at > l.seconds {
				break
			}
			own++
			thing, mine := uint64(n)<<20|random.Uint64N(uint64(k.things)), own
			push(start.Add(time.Duration(at*float64(time.Second))), func(now time.Time) { ask(n, thing, mine, now) })
		}
	}
	if report != nil {
		for at := 0.0; at < l.seconds; at += cmp.Or(l.reportEvery, 0.1) {
			push(start.Add(time.Duration(at*float64(time.Second))), report)
		}
	}
	for queue.Len() > 0 {
		h := heap.Pop(&queue).(happening)
		h.do(h.at)
	}
	return out
}

// replayTables replays a load with the product's policy.
func replayTables(l load, seed uint64) outcomeOfLoad {
	tables := make([]*Balancer, l.instances)
	policies := make([]chooser, l.instances)
	for i := range tables {
		tables[i] = New(Options{DataCentre: fmt.Sprintf("dc%d", i%4), Seed: uint64(i)})
		tables[i].SetInstances(l.instances)
		policies[i] = tableChooser{tables[i]}
	}
	return replay(l, seed, policies, func(now time.Time) {
		for i, from := range tables {
			reports := from.Reports(now)
			for j, to := range tables {
				if i == j || l.cut != nil && l.cut(i, j%4, now) {
					continue
				}
				to.ReceiveReports(fmt.Sprint(i), fmt.Sprintf("dc%d", i%4), reports, now)
				to.ExpireReports(now)
			}
		}
	})
}

// replayHash replays a load with the policy to beat.
func replayHash(l load, seed uint64) outcomeOfLoad {
	policies := make([]chooser, l.instances)
	for i := range policies {
		policies[i] = hashChooser{make(map[uint64]int)}
	}
	return replay(l, seed, policies, nil)
}

// burstOfReviews is the first seconds of a day of high load: twice the reviews
// come at once, and no engine keeps anything yet.
var burstOfReviews = load{
	seconds: 9, engines: 18, instances: 7,
	kinds: []kindOfLoad{
		{perSecond: 75, objective: 1500 * time.Millisecond, sharedTokens: 13300, things: 107, ownTokens: 3720, runs: 2 * time.Second, position: 2},
		{perSecond: 14, objective: 600 * time.Millisecond, sharedTokens: 6300, things: 42, ownTokens: 2890, runs: time.Second, position: 1},
		{perSecond: 34, objective: 300 * time.Millisecond, sharedTokens: 350, things: 100, ownTokens: 1110, runs: 2 * time.Second},
	},
}

// tooManyReviews is more than the engines can read: the reviews alone take all
// of their time. They are the least urgent.
func tooManyReviews(instances int) load {
	l := burstOfReviews
	l.instances = instances
	l.kinds = slices.Clone(l.kinds)
	l.kinds[0].perSecond = 130
	return l
}

// TestUrgentPromptsPassLongOnes has more reviews come than can be read. They may
// be late, but the short prompts, which are more urgent, must not: the users ask
// for 0.85 of a day of high load.
func TestUrgentPromptsPassLongOnes(t *testing.T) {
	for _, instances := range []int{7, 40} {
		compare(t, tooManyReviews(instances), func(ours, theirs outcomeOfLoad) bool {
			reviews, short := ours.kinds[0], ours.kinds[2]
			return short.share() >= 0.85 && ours.kinds[1].share() >= 0.85 && ours.onTime > theirs.onTime &&
				reviews.turnedAway < reviews.asked/2
		})
	}
}

// TestManyInstancesDontMeetAtOneServer has so many instances choose that what
// one did is not known to the others when they choose. Half of what the engines
// can read comes. Users ask for 0.85 of a day of high load.
func TestManyInstancesDontMeetAtOneServer(t *testing.T) {
	l := burstOfReviews
	l.seconds, l.engines, l.instances, l.reportEvery = 4, 60, 76, 0.25
	l.kinds = []kindOfLoad{{perSecond: 500, objective: 300 * time.Millisecond, sharedTokens: 350, things: 100, ownTokens: 2500, runs: time.Second}}
	for seed := range uint64(2) {
		if got := replayTables(l, seed); got.share(got.onTime) < 0.85 {
			t.Errorf("seed %d: %v", seed, got)
		}
	}
}

// compare replays a load with both policies at several seeds and checks that
// the product's own does as well as good says.
func compare(t *testing.T, l load, good func(ours, theirs outcomeOfLoad) bool) {
	t.Helper()
	for seed := range uint64(4) {
		ours, theirs := replayTables(l, seed), replayHash(l, seed)
		t.Logf("seed %d: ours %v; hashing %v", seed, ours, theirs)
		if !good(ours, theirs) {
			t.Errorf("seed %d: ours %v; hashing %v", seed, ours, theirs)
		}
	}
}

func TestBurstOfReviewsIsServedBetterThanByHashing(t *testing.T) {
	// Users ask for 0.85 of a day of high load.
	compare(t, burstOfReviews, func(ours, theirs outcomeOfLoad) bool {
		return ours.onTime > theirs.onTime && ours.share(ours.onTime) >= 0.85
	})
}

func TestServersThatFailArePassedOver(t *testing.T) {
	l := burstOfReviews
	l.kinds = []kindOfLoad{{perSecond: 60, objective: 600 * time.Millisecond, sharedTokens: 350, things: 100, ownTokens: 1110, runs: time.Second}}
	l.prepare = func(engines []*engineSim) {
		for i := range 4 {
			engines[i].failing = 0.5
		}
	}
	compare(t, l, func(ours, theirs outcomeOfLoad) bool { return ours.failed*3 <= theirs.failed })
}

func TestSlowServersGetLess(t *testing.T) {
	l := burstOfReviews
	l.kinds = []kindOfLoad{{perSecond: 120, objective: 300 * time.Millisecond, sharedTokens: 350, things: 100, ownTokens: 2500, runs: time.Second}}
	l.prepare = func(engines []*engineSim) {
		for i := range 3 {
			engines[i].slow = 6
		}
	}
	compare(t, l, func(ours, theirs outcomeOfLoad) bool { return ours.onTime > theirs.onTime })
}

// TestCutDataCentreIsPassedOver cuts a data centre for four seconds. What an
// instance on the other side sends there is lost.
func TestCutDataCentreIsPassedOver(t *testing.T) {
	l := burstOfReviews
	l.kinds = []kindOfLoad{{perSecond: 100, objective: 600 * time.Millisecond, sharedTokens: 350, things: 100, ownTokens: 1110, runs: time.Second}}
	start := time.Unix(1_000_000, 0)
	l.cut = func(instance, engine int, now time.Time) bool {
		inside := now.After(start.Add(3*time.Second)) && now.Before(start.Add(7*time.Second))
		return inside && (instance%4 == 0) != (engine%4 == 0)
	}
	compare(t, l, func(ours, theirs outcomeOfLoad) bool { return ours.failed*4 <= theirs.failed })
}

// TestCutDataCentreIsLeftByWhatItKeeps does the same with long prompts whose
// parts are kept on the other side of the cut.
func TestCutDataCentreIsLeftByWhatItKeeps(t *testing.T) {
	l := burstOfReviews
	l.kinds = []kindOfLoad{{perSecond: 40, objective: 1500 * time.Millisecond, sharedTokens: 13300, things: 40, ownTokens: 3720, runs: 2 * time.Second}}
	start := time.Unix(1_000_000, 0)
	l.cut = func(instance, engine int, now time.Time) bool {
		inside := now.After(start.Add(4*time.Second)) && now.Before(start.Add(8*time.Second))
		return inside && (instance%4 == 0) != (engine%4 == 0)
	}
	compare(t, l, func(ours, theirs outcomeOfLoad) bool { return ours.failed*4 <= theirs.failed })
}
