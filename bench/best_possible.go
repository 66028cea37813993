package bench

import (
	"cmp"
	"slices"
	"time"
)

// fluidWindow is the length of the time windows into which fluidModel divides a
// run.
const fluidWindow = time.Second

// minEngineSeconds is the least time of a full-speed engine that a request
// takes: the prefill of its uncached prompt tokens, and its share of steps with
// a full batch. The answer's first token comes with the prefill.
func minEngineSeconds(uncached, answer float64) float64 {
	perToken := stepBaseTime.Seconds()/engineBatchSize + stepTimePerSequence.Seconds()
	return uncached*stepTimePerPromptToken.Seconds() + (answer-1)*perToken
}

// fleetSpeed is the speed of the whole fleet, in full-speed engines.
func fleetSpeed(fleet []EngineSpec) float64 {
	sum := 0.0
	for _, e := range fleet {
		sum += e.Speed
	}
	return sum
}

// fluidModel is an idealised fleet for an upper bound: work can be divided at
// will, every batch is full, a prefix that was seen once is cached on every
// engine, and there are no delays and no losses.
type fluidModel struct {
	// freeSeconds is the time of full-speed engines that is left in each window.
	freeSeconds []float64
}

func newFluidModel(w *Workload) *fluidModel {
	windows := int((w.Duration+w.DrainTimeout)/fluidWindow) + 1
	f := &fluidModel{freeSeconds: make([]float64, windows)}
	for i := range f.freeSeconds {
		f.freeSeconds[i] = fleetSpeed(w.Engines) * fluidWindow.Seconds()
	}
	for _, fault := range w.Faults {
		if fault.Kind == EngineCrash {
			f.subtractOutage(fault, w.Engines[fault.Engine].Speed)
		}
	}
	return f
}

// subtractOutage subtracts the engine time that is lost while an engine is down
// after a crash.
func (f *fluidModel) subtractOutage(fault Fault, speed float64) {
	for i := range f.freeSeconds {
		from := max(fault.At, time.Duration(i)*fluidWindow)
		to := min(fault.At+fault.Duration, time.Duration(i+1)*fluidWindow)
		if to > from {
			f.freeSeconds[i] -= speed * (to - from).Seconds()
		}
	}
}

// reserve takes the engine seconds of a request from the earliest windows with
// time left. The work must begin no later than start and finish no later than
// end. If this is impossible, reserve takes nothing and returns false.
func (f *fluidModel) reserve(arrived, start, end time.Duration, cost float64) bool {
	first := int(arrived / fluidWindow)
	last := min(int(end/fluidWindow), len(f.freeSeconds)-1)
	for first <= last && f.freeSeconds[first] <= 0 {
		first++
	}
	if first > int(start/fluidWindow) {
		return false
	}
	remaining := cost
	lastUsed := first
	for ; lastUsed <= last && remaining > f.freeSeconds[lastUsed]; lastUsed++ {
		remaining -= f.freeSeconds[lastUsed]
	}
	if lastUsed > last {
		return false
	}
	for i := first; i < lastUsed; i++ {
		f.freeSeconds[i] = 0
	}
	f.freeSeconds[lastUsed] -= remaining
	return true
}

// job is one request in the fluid model.
type job struct {
	request *request
	load    *ClassLoad
	// cost is the request's minEngineSeconds.
	cost float64
}

// perToken is the job's cost per token of its answer.
func (j *job) perToken() float64 { return j.cost / float64(j.request.answerTokens) }

// bestTokens is an upper bound on the answer tokens that the fleet could have
// generated within the targets, for callers that arrive before the time given
// by the parameter until.
//
// Tiers are served in order, and each tier by arrival, to find the engine time
// that each tier can use. That time is then filled with the requests that cost
// the least per token, as if the lengths of answers were known in advance.
func bestTokens(w *Workload, requests []request, until time.Duration) int {
	jobs := initialJobs(w, requests)
	slices.SortStableFunc(jobs, func(a, b job) int {
		return cmp.Compare(a.load.Tier, b.load.Tier)
	})
	f := newFluidModel(w)
	total := 0
	for len(jobs) > 0 {
		tier := jobs[0].load.Tier
		jobsInTier := 0
		for jobsInTier < len(jobs) && jobs[jobsInTier].load.Tier == tier {
			jobsInTier++
		}
		total += f.tierTokens(w, jobs[:jobsInTier], until)
		jobs = jobs[jobsInTier:]
	}
	return total
}

// tierTokens is bestTokens for the jobs of one tier, which are in order of
// arrival.
func (f *fluidModel) tierTokens(w *Workload, jobs []job, until time.Duration) int {
	budget := 0.0
	var counted []job
	for i := range jobs {
		fits := f.reserveJob(w, &jobs[i])
		if jobs[i].request.arrivedAt >= until {
			continue
		}
		counted = append(counted, jobs[i])
		if fits {
			budget += jobs[i].cost
		}
	}
	slices.SortStableFunc(counted, func(a, b job) int {
		return cmp.Compare(a.perToken(), b.perToken())
	})
	return tokensWithin(counted, budget)
}

// budgetSlack covers rounding errors in sums of engine seconds.
const budgetSlack = 1e-6

// tokensWithin counts the answer tokens of the jobs, in order, until the budget
// of engine seconds is spent.
func tokensWithin(jobs []job, budget float64) int {
	tokens := 0
	budget += budgetSlack
	for i := range jobs {
		if jobs[i].cost > budget {
			return tokens + int(budget/jobs[i].perToken())
		}
		budget -= jobs[i].cost
		tokens += jobs[i].request.answerTokens
	}
	return tokens
}

// initialJobs returns a job for the first request of each caller. Callers that
// leave without waiting for their deadline are left out.
func initialJobs(w *Workload, requests []request) []job {
	seenPrefixes := make(map[uint64]bool)
	jobs := make([]job, 0, len(requests))
	for i := range requests {
		r := &requests[i]
		if r.returns > 0 || r.leaveAfter > 0 {
			continue
		}
		uncached := r.promptTokens
		if seenPrefixes[r.prefix] {
			uncached -= r.prefixTokens
		}
		seenPrefixes[r.prefix] = true
		cost := minEngineSeconds(float64(uncached), float64(r.answerTokens))
		jobs = append(jobs, job{request: r, load: &w.Classes[r.class], cost: cost})
	}
	return jobs
}

// reserveJob reserves the job's cost within its class's targets, and reports
// whether it fits.
func (f *fluidModel) reserveJob(w *Workload, j *job) bool {
	arrived := j.request.arrivedAt
	end := w.Duration + w.DrainTimeout
	if j.load.WholeAnswer > 0 {
		end = min(end, arrived+j.load.WholeAnswer)
	}
	start := end
	if j.load.FirstToken > 0 {
		start = min(end, arrived+j.load.FirstToken)
	}
	return f.reserve(arrived, start, end, j.cost)
}
