package bench

import (
	"fmt"
	"time"

	"bergamotpin.example/bergamotpin/schedcore"
)

const (
	covorEngines  = 18
	andinaEngines = 9
	// returnShare is the probability that a refused caller comes back.
	returnShare = 0.8
)

// Workloads returns the five workloads at today's sizes.
func Workloads() []Workload {
	return []Workload{CovorAuction(), AndinaPeaks(), LowBurst(), TopOverload(), Faults()}
}

// engines returns n engines, every third at half speed if slow is set.
func engines(n int, slow bool) []EngineSpec {
	out := make([]EngineSpec, n)
	for i := range out {
		out[i] = EngineSpec{Name: fmt.Sprintf("engine-%02d", i), Speed: 1}
		if slow && i%3 == 2 {
			out[i].Speed = 0.5
		}
	}
	return out
}

// organisations returns ten organisations of equal weight, of which three
// large ones bring most of the load.
func organisations() []OrganisationLoad {
	shares := []float64{30, 20, 15, 5, 5, 5, 5, 5, 5, 5}
	out := make([]OrganisationLoad, len(shares))
	for i, share := range shares {
		name := fmt.Sprintf("organisation-%d", i)
		out[i] = OrganisationLoad{
			Organisation: schedcore.Organisation{Name: name, Weight: 1},
			Share:        share,
		}
	}
	return out
}

// step is a share of the fleet's capacity that holds from a moment on.
type step struct {
	from  time.Duration
	share float64
}

func withRates(load ClassLoad, fleet []EngineSpec, steps ...step) ClassLoad {
	for _, s := range steps {
		rate := Rate{From: s.from, PerSecond: rateFor(load, fleet, s.share)}
		load.Rates = append(load.Rates, rate)
	}
	return load
}

// provenance is the auctions' urgent class.
func provenance() ClassLoad {
	return ClassLoad{
		Class: schedcore.Class{
			Name: "provenance", Tier: 0, FirstToken: time.Second,
			BetweenTokens: 100 * time.Millisecond, WholeAnswer: 60 * time.Second,
			MaxWait: 2 * time.Second,
		},
		Idempotent: true, Deadline: 90 * time.Second,
		Prompt:   Lengths{Median: 900, Sigma: 0.4, Max: 3000},
		Answer:   Lengths{Median: 150, Sigma: 0.6, Max: 600},
		Prefixes: 20, PrefixTokens: 600,
	}
}

// certificate is urgent and not idempotent.
func certificate() ClassLoad {
	return ClassLoad{
		Class: schedcore.Class{
			Name: "certificate", Tier: 0, FirstToken: 2 * time.Second,
			BetweenTokens: 100 * time.Millisecond, WholeAnswer: 60 * time.Second,
			MaxWait: 4 * time.Second,
		},
		Deadline: 90 * time.Second,
		Prompt:   Lengths{Median: 500, Sigma: 0.3, Max: 1500},
		Answer:   Lengths{Median: 120, Sigma: 0.3, Max: 400},
	}
}

func lookup() ClassLoad {
	return ClassLoad{
		Class: schedcore.Class{
			Name: "lookup", Tier: 1, FirstToken: 500 * time.Millisecond,
			BetweenTokens: 100 * time.Millisecond, WholeAnswer: 20 * time.Second,
			Floor: 0.05, MaxWait: 2 * time.Second,
		},
		Idempotent: true, Deadline: 30 * time.Second,
		Prompt:   Lengths{Median: 300, Sigma: 0.4, Max: 1000},
		Answer:   Lengths{Median: 40, Sigma: 0.5, Max: 150},
		Prefixes: 10, PrefixTokens: 200,
	}
}

// review is long, of a length with a heavy tail, and can wait.
func review() ClassLoad {
	return ClassLoad{
		Class: schedcore.Class{
			Name: "review", Tier: 2, FirstToken: 30 * time.Second,
			BetweenTokens: 200 * time.Millisecond, WholeAnswer: 5 * time.Minute,
			Floor: 0.1, MaxWait: time.Minute,
		},
		Idempotent: true, Deadline: 8 * time.Minute,
		Prompt:   Lengths{Median: 2000, Sigma: 0.5, Max: 6000},
		Answer:   Lengths{Median: 200, Shape: 1.5, Max: 2500},
		Prefixes: 12, PrefixTokens: 1200,
	}
}

// CovorAuction is a slice of a steady day in which an auction opens.
func CovorAuction() Workload {
	fleet := engines(covorEngines, false)
	const opens, closes = 60 * time.Second, 120 * time.Second
	return Workload{
		Name:     "covor-auction",
		Duration: 180 * time.Second, Drain: 600 * time.Second,
		Engines: fleet, Organisations: organisations(), ReturnShare: returnShare,
		Targets: Targets{Urgent: minUrgent, Goodput: minGoodput, Wasted: maxWasted},
		Classes: []ClassLoad{
			withRates(provenance(), fleet, step{0, 0.1}, step{opens, 0.5}, step{closes, 0.1}),
			withRates(certificate(), fleet, step{0, 0.02}),
			withRates(lookup(), fleet, step{0, 0.08}),
			withRates(review(), fleet, step{0, 0.5}),
		},
	}
}

func order() ClassLoad {
	load := certificate()
	load.Name = "order"
	load.FirstToken = time.Second
	load.Prompt = Lengths{Median: 400, Sigma: 0.3, Max: 1200}
	load.Prefixes = 8
	load.PrefixTokens = 250
	return load
}

func summary() ClassLoad {
	return ClassLoad{
		Class: schedcore.Class{
			Name: "summary", Tier: 1, FirstToken: 5 * time.Second,
			BetweenTokens: 150 * time.Millisecond, WholeAnswer: 3 * time.Minute,
			Floor: 0.1, MaxWait: 20 * time.Second,
		},
		Idempotent: true, Deadline: 4 * time.Minute,
		Prompt:   Lengths{Median: 1200, Sigma: 0.5, Max: 4000},
		Answer:   Lengths{Median: 150, Sigma: 0.9, Max: 1200},
		Prefixes: 10, PrefixTokens: 400,
	}
}

func suggestion() ClassLoad {
	return ClassLoad{
		Class: schedcore.Class{
			Name: "suggestion", Tier: 2, FirstToken: 5 * time.Second,
			BetweenTokens: 150 * time.Millisecond, WholeAnswer: time.Minute,
			Floor: 0.05, MaxWait: 30 * time.Second,
		},
		Idempotent: true, Deadline: 2 * time.Minute,
		Prompt:   Lengths{Median: 300, Sigma: 0.4, Max: 1000},
		Answer:   Lengths{Median: 100, Sigma: 0.5, Max: 400},
		Prefixes: 6, PrefixTokens: 150,
	}
}

// AndinaPeaks puts the night's, the dawn's and the weekend's peak one after
// the other, on a fleet in which one engine in three runs at half speed.
func AndinaPeaks() Workload {
	fleet := engines(andinaEngines, true)
	const dawn, weekend = 60 * time.Second, 120 * time.Second
	return Workload{
		Name:     "andina-peaks",
		Duration: 180 * time.Second, Drain: 360 * time.Second,
		Engines: fleet, Organisations: organisations(), ReturnShare: returnShare,
		Targets: Targets{Urgent: minUrgent, Goodput: minGoodput, Wasted: maxWasted},
		Classes: []ClassLoad{
			withRates(order(), fleet, step{0, 0.05}, step{dawn, 0.7}, step{weekend, 0.05}),
			withRates(summary(), fleet, step{0, 0.85}, step{dawn, 0.3}, step{weekend, 0.2}),
			withRates(suggestion(), fleet, step{0, 0.05}, step{weekend, 0.75}),
		},
	}
}

// LowBurst has the lowest class burst to ten times the fleet's capacity for a
// minute. The run is long enough for most refused callers to come back.
func LowBurst() Workload {
	fleet := engines(andinaEngines, false)
	const begins, ends = 10 * time.Second, 70 * time.Second
	return Workload{
		Name:     "low-burst",
		Duration: 1800 * time.Second, Drain: 480 * time.Second,
		GoodputUntil: ends,
		Engines:      fleet, Organisations: organisations(), ReturnShare: returnShare,
		Targets: Targets{Urgent: minUrgent, Goodput: minGoodput, Wasted: maxWasted},
		Classes: []ClassLoad{
			withRates(order(), fleet, step{0, 0.3}),
			withRates(summary(), fleet, step{0, 0.2}),
			withRates(suggestion(), fleet, step{0, 0.05}, step{begins, 10}, step{ends, 0.05}),
		},
	}
}

// TopOverload keeps the highest tier at one and a half times the fleet's
// capacity for ten minutes.
func TopOverload() Workload {
	fleet := engines(andinaEngines, false)
	const begins, ends = 10 * time.Second, 610 * time.Second
	return Workload{
		Name:     "top-overload",
		Duration: ends, Drain: 360 * time.Second,
		Engines: fleet, Organisations: organisations(), ReturnShare: returnShare,
		Targets: Targets{UrgentAdmitted: minUrgentAdmitted, Wasted: maxWasted, EveryClassServed: true},
		Classes: []ClassLoad{
			withRates(provenance(), fleet, step{0, 0.2}, step{begins, 1.5}),
			withRates(summary(), fleet, step{0, 0.1}),
			withRates(suggestion(), fleet, step{0, 0.05}),
		},
	}
}

// leaving lets a share of the class's callers leave before the answer's end.
func leaving(load ClassLoad, share float64, after time.Duration) ClassLoad {
	load.LeaveShare = share
	load.LeaveAfter = after
	return load
}

// Faults crashes an engine mid-stream, stops load reports for half a minute
// and replaces the scheduler, one after the other. Some callers leave.
func Faults() Workload {
	fleet := engines(covorEngines, false)
	return Workload{
		Name:     "faults",
		Duration: 120 * time.Second, Drain: 600 * time.Second,
		Engines: fleet, Organisations: organisations(), ReturnShare: returnShare,
		Targets: Targets{Urgent: minUrgent, Wasted: maxWastedCrash},
		Classes: []ClassLoad{
			withRates(leaving(provenance(), 0.01, 2*time.Second), fleet, step{0, 0.25}),
			withRates(certificate(), fleet, step{0, 0.05}),
			withRates(lookup(), fleet, step{0, 0.1}),
			withRates(leaving(review(), 0.02, 3*time.Second), fleet, step{0, 0.3}),
		},
		Faults: []Fault{
			{Kind: EngineCrash, At: 20 * time.Second, For: 20 * time.Second, Engine: 4},
			{Kind: ReportsStop, At: 45 * time.Second, For: 30 * time.Second},
			{Kind: SchedulerLost, At: 90 * time.Second, For: 100 * time.Millisecond},
		},
	}
}
