package autoscale

import (
	"math"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
)

var testStart = time.Unix(1_800_000_000, 0)

// fleet plays the platform and the callers of one service in virtual time, a second a step.
type fleet struct {
	t       *testing.T
	planner *Planner
	service catalog.Service
	view    View
	now     time.Time
	// heldSince is when the planner's instance became the holder.
	heldSince time.Time
	counts    counts
	// booting and reclaimed hold when ordered replicas come and when noticed ones are gone.
	booting   []bootingReplicas
	reclaimed map[Group]time.Time
	leaving   counts
	dryUntil  time.Time
	// tokens returns the prompt tokens a second that callers send after the given time.
	tokens func(after time.Duration) float64
	// worst is the highest part of the ready replicas' time that reading prompts took. cost sums
	// the prices of the replicas, and lowered and raised count orders.
	worst, cost     float64
	raised, lowered int
	refused         int
	lastRaise       map[Group]time.Time
}

type bootingReplicas struct {
	group Group
	n     int
	at    time.Time
}

func newFleet(t *testing.T, tokens func(time.Duration) float64) *fleet {
	f := &fleet{
		t: t, planner: New(), now: testStart, tokens: tokens, view: View{Live: 75, Known: 75},
		counts: make(counts), leaving: make(counts), reclaimed: make(map[Group]time.Time), lastRaise: make(map[Group]time.Time),
		service: catalog.Service{
			Name: "model", Slots: 24, MemoryTokens: 600_000, EventTokens: 6,
			Autoscale: &catalog.Autoscale{
				Min: 1, Max: 94, BootTime: 4 * time.Second, ReclaimablePrice: 0.22, Prices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25},
			},
		},
	}
	for dc, n := range map[string]int{"a": 47, "b": 47, "c": 46} {
		f.counts[Group{dc, false}] = n
	}
	return f
}

// run plays some time. Orders are sent only if holds is set.
func (f *fleet) run(d time.Duration, holds bool) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(time.Second) {
		f.advance()
		f.planner.Observe(f.observation(), f.now)
		if !holds {
			continue
		}
		for _, o := range f.planner.Plan(f.heldSince, f.now) {
			f.planner.Record(o, f.order(o), f.now)
		}
	}
}

func (f *fleet) advance() {
	var still []bootingReplicas
	for _, b := range f.booting {
		if b.at.After(f.now) {
			still = append(still, b)
			continue
		}
		f.counts[b.group] += b.n
	}
	f.booting = still
	for g, at := range f.reclaimed {
		if !at.After(f.now) {
			delete(f.reclaimed, g)
			delete(f.leaving, g)
		}
	}
	f.cost += f.counts.cost(f.service.Autoscale)
	f.worst = max(f.worst, f.load()/float64(max(f.counts.total(), 1)))
}

// load returns the number of replicas that reading the prompts keeps busy.
func (f *fleet) load() float64 { return f.tokens(f.now.Sub(testStart)) / prefillTokensPerSecond }

func (f *fleet) observation() Observation {
	o := Observation{Service: f.service, View: f.view}
	for _, leaving := range []bool{false, true} {
		from := f.counts
		if leaving {
			from = f.leaving
		}
		for g, n := range from {
			for range n {
				o.Replicas = append(o.Replicas, Replica{Group: g, Leaving: leaving, Delivers: 1})
			}
		}
	}
	tokens := f.tokens(f.now.Sub(testStart))
	busy := f.load() / float64(max(f.counts.total(), 1))
	rate := tokens / 2800
	late := 0.0
	if busy > 0.75 {
		late = 0.5
	}
	o.Demand = Demand{
		Running: rate, MemoryTokens: rate * 9000, PrefillPerSecond: tokens / 3, PrefillRunning: rate / 3,
		Kinds: []Kind{
			{Urgency: catalog.Urgency{RoutePriority: 0}, PerSecond: rate / 6, LateShare: late},
			{Urgency: catalog.Urgency{RoutePriority: 2}, PerSecond: rate / 6},
		},
	}
	return o
}

// order plays the platform's side of an order.
func (f *fleet) order(o Order) Outcome {
	dc := o.DataCentre
	coming := 0
	for _, b := range f.booting {
		if b.group == o.Group {
			coming += b.n
		}
	}
	other := f.counts.of(dc) - f.counts[o.Group]
	if o.Desired+other > f.service.Autoscale.Max || o.Desired+other < f.service.Autoscale.Min {
		f.t.Errorf("%v: %+v exceeds the bounds, with %d of the other kind", f.now.Sub(testStart), o, other)
	}
	have := f.counts[o.Group] + coming
	switch {
	case o.Desired > have && f.now.Before(f.dryUntil):
		f.refused++
		return NoneAvailable
	case o.Desired > have:
		f.raised++
		f.lastRaise[o.Group] = f.now
		f.booting = append(f.booting, bootingReplicas{o.Group, o.Desired - have, f.now.Add(f.service.Autoscale.BootTime)})
	case o.Desired < have:
		f.lowered++
		if f.now.Sub(f.lastRaise[o.Group]) < minLife {
			f.t.Errorf("%v: %+v lowers what was raised a short time ago", f.now.Sub(testStart), o)
		}
		f.counts[o.Group] = o.Desired - coming
	}
	return Accepted
}

// reclaim takes back the reclaimable replicas of a data centre, with notice. None can be had
// for the given time.
func (f *fleet) reclaim(dc string, dry time.Duration) {
	g := Group{dc, true}
	f.leaving[g], f.counts[g] = f.counts[g], 0
	f.reclaimed[g] = f.now.Add(2500 * time.Millisecond)
	f.dryUntil = f.now.Add(dry)
}

// wave returns a load that swings by 27% with a period of 11 s.
func wave(tokens float64) func(time.Duration) float64 {
	return func(after time.Duration) float64 {
		return tokens * (1 + 0.27*math.Sin(2*math.Pi*after.Seconds()/11))
	}
}

// during multiplies a load in a period.
func during(base func(time.Duration) float64, from, to time.Duration, factor float64) func(time.Duration) float64 {
	return func(after time.Duration) float64 {
		if after >= from && after < to {
			return factor * base(after)
		}
		return base(after)
	}
}
