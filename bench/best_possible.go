package bench

import (
	"cmp"
	"slices"
	"time"
)

// fluidWindow is the resolution of the best possible.
const fluidWindow = time.Second

// engineSeconds is the least time of a full-speed engine that a request takes:
// its uncached prompt, and its share of steps at a full batch.
func engineSeconds(uncached, answer float64) float64 {
	perToken := stepBase.Seconds()/engineBatch + stepPerSequence.Seconds()
	return uncached*stepPerPrompt.Seconds() + (answer-1)*perToken
}

// fleetSpeed is the number of full-speed engines that the fleet is worth.
func fleetSpeed(fleet []EngineSpec) float64 {
	sum := 0.0
	for _, e := range fleet {
		sum += e.Speed
	}
	return sum
}

// fluid is a fleet whose work can be cut as finely as one likes: every batch
// is always full, every prefix that was seen once is cached everywhere, and
// nothing is lost on the way.
type fluid struct {
	// free is the engine time left by window.
	free []float64
}

func newFluid(w *Workload) *fluid {
	windows := int((w.Duration+w.Drain)/fluidWindow) + 1
	f := &fluid{free: make([]float64, windows)}
	for i := range f.free {
		f.free[i] = fleetSpeed(w.Engines) * fluidWindow.Seconds()
	}
	for _, fault := range w.Faults {
		if fault.Kind == EngineCrash {
			f.take(fault, w.Engines[fault.Engine].Speed)
		}
	}
	return f
}

func (f *fluid) take(fault Fault, speed float64) {
	for i := range f.free {
		from := max(fault.At, time.Duration(i)*fluidWindow)
		to := min(fault.At+fault.For, time.Duration(i+1)*fluidWindow)
		if to > from {
			f.free[i] -= speed * (to - from).Seconds()
		}
	}
}

// place takes the request's cost from the earliest windows. It takes nothing
// and returns false if the work can't start by start and end by end.
func (f *fluid) place(arrived, start, end time.Duration, cost float64) bool {
	first := int(arrived / fluidWindow)
	last := min(int(end/fluidWindow), len(f.free)-1)
	for first <= last && f.free[first] <= 0 {
		first++
	}
	if first > int(start/fluidWindow) {
		return false
	}
	left := cost
	stop := first
	for ; stop <= last && left > f.free[stop]; stop++ {
		left -= f.free[stop]
	}
	if stop > last {
		return false
	}
	for i := first; i < stop; i++ {
		f.free[i] = 0
	}
	f.free[stop] -= left
	return true
}

// job is one request of the fluid bound.
type job struct {
	request *request
	load    *ClassLoad
	cost    float64
}

// perToken is the job's cost for each token of its answer.
func (j *job) perToken() float64 { return j.cost / float64(j.request.answer) }

// bestTokens is the most answer tokens that the fleet could have made within
// their targets for callers that arrived before until. Tiers are served in
// order, and by arrival inside a tier: that gives the engine time that each
// tier can use. The tokens are those of the requests that cost the least for
// each token, up to that time, as if the answers' lengths were known.
func bestTokens(w *Workload, requests []request, until time.Duration) int {
	jobs := jobsOf(w, requests)
	slices.SortStableFunc(jobs, func(a, b job) int {
		return cmp.Compare(a.load.Tier, b.load.Tier)
	})
	f := newFluid(w)
	total := 0
	for len(jobs) > 0 {
		tier := jobs[0].load.Tier
		n := 0
		for n < len(jobs) && jobs[n].load.Tier == tier {
			n++
		}
		total += f.tierTokens(w, jobs[:n], until)
		jobs = jobs[n:]
	}
	return total
}

// tierTokens serves one tier's jobs, which are in order of arrival.
func (f *fluid) tierTokens(w *Workload, jobs []job, until time.Duration) int {
	budget := 0.0
	var counted []job
	for i := range jobs {
		served := f.serve(w, &jobs[i])
		if jobs[i].request.arrived >= until {
			continue
		}
		counted = append(counted, jobs[i])
		if served {
			budget += jobs[i].cost
		}
	}
	slices.SortStableFunc(counted, func(a, b job) int {
		return cmp.Compare(a.perToken(), b.perToken())
	})
	return tokensWithin(counted, budget)
}

// budgetSlack covers the rounding of sums of engine seconds.
const budgetSlack = 1e-6

// tokensWithin counts tokens of jobs in order until the budget is spent.
func tokensWithin(jobs []job, budget float64) int {
	tokens := 0
	budget += budgetSlack
	for i := range jobs {
		if jobs[i].cost > budget {
			return tokens + int(budget/jobs[i].perToken())
		}
		budget -= jobs[i].cost
		tokens += jobs[i].request.answer
	}
	return tokens
}

// jobsOf works out the least cost of each caller's first visit. Callers that
// leave of their own will don't count.
func jobsOf(w *Workload, requests []request) []job {
	seen := make(map[uint64]bool)
	jobs := make([]job, 0, len(requests))
	for i := range requests {
		r := &requests[i]
		if r.visit > 0 || r.leaveAfter > 0 {
			continue
		}
		uncached := r.prompt
		if seen[r.prefix] {
			uncached -= r.prefixLen
		}
		seen[r.prefix] = true
		cost := engineSeconds(float64(uncached), float64(r.answer))
		jobs = append(jobs, job{request: r, load: &w.Classes[r.class], cost: cost})
	}
	return jobs
}

func (f *fluid) serve(w *Workload, j *job) bool {
	arrived := j.request.arrived
	end := w.Duration + w.Drain
	if j.load.WholeAnswer > 0 {
		end = min(end, arrived+j.load.WholeAnswer)
	}
	start := end
	if j.load.FirstToken > 0 {
		start = min(end, arrived+j.load.FirstToken)
	}
	return f.place(arrived, start, end, j.cost)
}
