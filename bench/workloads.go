package bench

import (
	"fmt"
	"time"

	"bergamotpin.example/bergamotpin/schedcore"
)

const (
	// covorEngines is the number of engines in the fleet of Covorul Drept, a
	// user organisation that appraises rugs and runs an auction house.
	covorEngines = 18
	// andinaEngines is the number of engines in the fleet of Agenda Andina, a
	// user organisation that prints school diaries.
	andinaEngines = 9
	// returnShare is the probability that a refused caller returns.
	returnShare = 0.8
)

// Workloads returns the five workloads of the benchmark. Their fleets have the
// sizes that the user organisations Covorul Drept and Agenda Andina have at
// present.
func Workloads() []Workload {
	return []Workload{CovorAuctionWorkload(), AndinaPeaksWorkload(), LowTierBurstWorkload(), TopTierOverloadWorkload(), FaultsWorkload()}
}

// engines returns n engines of full speed. If slow is set, every third engine
// runs at half speed.
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

// organisations returns ten organisations of equal weight. Three large ones
// bring 65% of the load.
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

// rateStep is the load of a class from a time after the run's start, as a share
// of the fleet's capacity.
type rateStep struct {
	from  time.Duration
	share float64
}

// withRates returns the class with the arrival rates that give the load of each
// step.
func withRates(load ClassLoad, fleet []EngineSpec, steps ...rateStep) ClassLoad {
	for _, s := range steps {
		rate := Rate{From: s.from, PerSecond: arrivalRate(load, fleet, s.share)}
		load.Rates = append(load.Rates, rate)
	}
	return load
}

// provenanceClass is an urgent class with shared prefixes. In CovorAuctionWorkload only
// the load of this class rises during the auction.
func provenanceClass() ClassLoad {
	return ClassLoad{
		Class: schedcore.Class{
			Name: "provenance", Tier: 0, FirstToken: time.Second,
			BetweenTokens: 100 * time.Millisecond, WholeAnswer: 60 * time.Second,
			MaxWait: 2 * time.Second,
		},
		Idempotent: true, Deadline: 90 * time.Second,
		PromptLengths: LengthDistribution{Median: 900, Sigma: 0.4, Max: 3000},
		AnswerLengths: LengthDistribution{Median: 150, Sigma: 0.6, Max: 600},
		Prefixes:      20, PrefixTokens: 600,
	}
}

// certificateClass is an urgent class whose requests are not idempotent.
func certificateClass() ClassLoad {
	return ClassLoad{
		Class: schedcore.Class{
			Name: "certificate", Tier: 0, FirstToken: 2 * time.Second,
			BetweenTokens: 100 * time.Millisecond, WholeAnswer: 60 * time.Second,
			MaxWait: 4 * time.Second,
		},
		Deadline:      90 * time.Second,
		PromptLengths: LengthDistribution{Median: 500, Sigma: 0.3, Max: 1500},
		AnswerLengths: LengthDistribution{Median: 120, Sigma: 0.3, Max: 400},
	}
}

// lookupClass has short requests with a tight first-token target.
func lookupClass() ClassLoad {
	return ClassLoad{
		Class: schedcore.Class{
			Name: "lookup", Tier: 1, FirstToken: 500 * time.Millisecond,
			BetweenTokens: 100 * time.Millisecond, WholeAnswer: 20 * time.Second,
			Floor: 0.05, MaxWait: 2 * time.Second,
		},
		Idempotent: true, Deadline: 30 * time.Second,
		PromptLengths: LengthDistribution{Median: 300, Sigma: 0.4, Max: 1000},
		AnswerLengths: LengthDistribution{Median: 40, Sigma: 0.5, Max: 150},
		Prefixes:      10, PrefixTokens: 200,
	}
}

// reviewClass has long prompts, answers with a heavy-tailed length, and targets
// that leave time to wait.
func reviewClass() ClassLoad {
	return ClassLoad{
		Class: schedcore.Class{
			Name: "review", Tier: 2, FirstToken: 30 * time.Second,
			BetweenTokens: 200 * time.Millisecond, WholeAnswer: 5 * time.Minute,
			Floor: 0.1, MaxWait: time.Minute,
		},
		Idempotent: true, Deadline: 8 * time.Minute,
		PromptLengths: LengthDistribution{Median: 2000, Sigma: 0.5, Max: 6000},
		AnswerLengths: LengthDistribution{Median: 200, Shape: 1.5, Max: 2500},
		Prefixes:      12, PrefixTokens: 1200,
	}
}

// CovorAuctionWorkload is a workload modelled on the day of Covorul Drept's
// auction house. The load of the provenance class rises to five times its usual
// rate for the minute in which an auction is open; all other classes have a
// steady load.
func CovorAuctionWorkload() Workload {
	fleet := engines(covorEngines, false)
	const auctionStart, auctionEnd = 60 * time.Second, 120 * time.Second
	return Workload{
		Name:     "covor-auction",
		Duration: 180 * time.Second, DrainTimeout: 600 * time.Second,
		Engines: fleet, Organisations: organisations(), ReturnShare: returnShare,
		Targets: Targets{MinUrgentAttainment: minUrgentAttainment, MinGoodput: minGoodput, MaxWasted: maxWasted},
		Classes: []ClassLoad{
			withRates(provenanceClass(), fleet, rateStep{0, 0.1}, rateStep{auctionStart, 0.5}, rateStep{auctionEnd, 0.1}),
			withRates(certificateClass(), fleet, rateStep{0, 0.02}),
			withRates(lookupClass(), fleet, rateStep{0, 0.08}),
			withRates(reviewClass(), fleet, rateStep{0, 0.5}),
		},
	}
}

// orderClass is an urgent class whose requests are not idempotent and share
// prompt prefixes.
func orderClass() ClassLoad {
	load := certificateClass()
	load.Name = "order"
	load.FirstToken = time.Second
	load.PromptLengths = LengthDistribution{Median: 400, Sigma: 0.3, Max: 1200}
	load.Prefixes = 8
	load.PrefixTokens = 250
	return load
}

// summaryClass has medium-sized requests of the middle tier.
func summaryClass() ClassLoad {
	return ClassLoad{
		Class: schedcore.Class{
			Name: "summary", Tier: 1, FirstToken: 5 * time.Second,
			BetweenTokens: 150 * time.Millisecond, WholeAnswer: 3 * time.Minute,
			Floor: 0.1, MaxWait: 20 * time.Second,
		},
		Idempotent: true, Deadline: 4 * time.Minute,
		PromptLengths: LengthDistribution{Median: 1200, Sigma: 0.5, Max: 4000},
		AnswerLengths: LengthDistribution{Median: 150, Sigma: 0.9, Max: 1200},
		Prefixes:      10, PrefixTokens: 400,
	}
}

// suggestionClass has short requests of the lowest tier.
func suggestionClass() ClassLoad {
	return ClassLoad{
		Class: schedcore.Class{
			Name: "suggestion", Tier: 2, FirstToken: 5 * time.Second,
			BetweenTokens: 150 * time.Millisecond, WholeAnswer: time.Minute,
			Floor: 0.05, MaxWait: 30 * time.Second,
		},
		Idempotent: true, Deadline: 2 * time.Minute,
		PromptLengths: LengthDistribution{Median: 300, Sigma: 0.4, Max: 1000},
		AnswerLengths: LengthDistribution{Median: 100, Sigma: 0.5, Max: 400},
		Prefixes:      6, PrefixTokens: 150,
	}
}

// AndinaPeaksWorkload is a workload modelled on the traffic of Agenda Andina, whose
// callers are teachers and print planners. It has three peaks, one after the
// other, of one minute each: a peak of summaries like the one at night, a peak
// of orders like the one at dawn, and a peak of suggestions like the one at
// weekends. One engine in three runs at half speed.
func AndinaPeaksWorkload() Workload {
	fleet := engines(andinaEngines, true)
	const dawnStart, weekendStart = 60 * time.Second, 120 * time.Second
	return Workload{
		Name:     "andina-peaks",
		Duration: 180 * time.Second, DrainTimeout: 360 * time.Second,
		Engines: fleet, Organisations: organisations(), ReturnShare: returnShare,
		Targets: Targets{MinUrgentAttainment: minUrgentAttainment, MinGoodput: minGoodput, MaxWasted: maxWasted},
		Classes: []ClassLoad{
			withRates(orderClass(), fleet, rateStep{0, 0.05}, rateStep{dawnStart, 0.7}, rateStep{weekendStart, 0.05}),
			withRates(summaryClass(), fleet, rateStep{0, 0.85}, rateStep{dawnStart, 0.3}, rateStep{weekendStart, 0.2}),
			withRates(suggestionClass(), fleet, rateStep{0, 0.05}, rateStep{weekendStart, 0.75}),
		},
	}
}

// LowTierBurstWorkload is a workload in which the lowest tier bursts to ten
// times the fleet's capacity for a minute. The run is long enough for most
// refused callers to return.
func LowTierBurstWorkload() Workload {
	fleet := engines(andinaEngines, false)
	const burstStart, burstEnd = 10 * time.Second, 70 * time.Second
	return Workload{
		Name:     "low-burst",
		Duration: 1800 * time.Second, DrainTimeout: 480 * time.Second,
		GoodputUntil: burstEnd,
		Engines:      fleet, Organisations: organisations(), ReturnShare: returnShare,
		Targets: Targets{MinUrgentAttainment: minUrgentAttainment, MinGoodput: minGoodput, MaxWasted: maxWasted},
		Classes: []ClassLoad{
			withRates(orderClass(), fleet, rateStep{0, 0.3}),
			withRates(summaryClass(), fleet, rateStep{0, 0.2}),
			withRates(suggestionClass(), fleet, rateStep{0, 0.05}, rateStep{burstStart, 10}, rateStep{burstEnd, 0.05}),
		},
	}
}

// TopTierOverloadWorkload is a workload in which the highest tier alone demands
// one and a half times the fleet's capacity for ten minutes.
func TopTierOverloadWorkload() Workload {
	fleet := engines(andinaEngines, false)
	const overloadStart, overloadEnd = 10 * time.Second, 610 * time.Second
	return Workload{
		Name:     "top-overload",
		Duration: overloadEnd, DrainTimeout: 360 * time.Second,
		Engines: fleet, Organisations: organisations(), ReturnShare: returnShare,
		Targets: Targets{MinUrgentOfAdmitted: minUrgentOfAdmitted, MaxWasted: maxWasted, EveryClassServed: true},
		Classes: []ClassLoad{
			withRates(provenanceClass(), fleet, rateStep{0, 0.2}, rateStep{overloadStart, 1.5}),
			withRates(summaryClass(), fleet, rateStep{0, 0.1}),
			withRates(suggestionClass(), fleet, rateStep{0, 0.05}),
		},
	}
}

// withLeavingCallers makes a share of the class's callers leave after the given
// time, unless they have their whole answer by then.
func withLeavingCallers(load ClassLoad, share float64, after time.Duration) ClassLoad {
	load.LeaveShare = share
	load.LeaveAfter = after
	return load
}

// FaultsWorkload is a workload with three faults, one after the other: an
// engine crashes while it generates, load reports and cache hints stop for half
// a minute, and the scheduler is lost and replaced. Some callers leave early.
func FaultsWorkload() Workload {
	fleet := engines(covorEngines, false)
	return Workload{
		Name:     "faults",
		Duration: 120 * time.Second, DrainTimeout: 600 * time.Second,
		Engines: fleet, Organisations: organisations(), ReturnShare: returnShare,
		Targets: Targets{MinUrgentAttainment: minUrgentAttainment, MaxWasted: maxWastedWithFaults},
		Classes: []ClassLoad{
			withRates(withLeavingCallers(provenanceClass(), 0.01, 2*time.Second), fleet, rateStep{0, 0.25}),
			withRates(certificateClass(), fleet, rateStep{0, 0.05}),
			withRates(lookupClass(), fleet, rateStep{0, 0.1}),
			withRates(withLeavingCallers(reviewClass(), 0.02, 3*time.Second), fleet, rateStep{0, 0.3}),
		},
		Faults: []Fault{
			{Kind: EngineCrash, At: 20 * time.Second, Duration: 20 * time.Second, Engine: 4},
			{Kind: ReportOutage, At: 45 * time.Second, Duration: 30 * time.Second},
			{Kind: SchedulerLoss, At: 90 * time.Second, Duration: 100 * time.Millisecond},
		},
	}
}
