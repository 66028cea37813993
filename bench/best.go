package bench

import (
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

// bestTokens is the most answer tokens that the fleet could have made within
// their targets for callers that arrived before until, serving tier by tier.
func bestTokens(w *Workload, requests []request, until time.Duration) int {
	f := newFluid(w)
	order := make([]int, 0, len(requests))
	for i := range requests {
		if requests[i].visit == 0 {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(i, j int) int {
		return w.Classes[requests[i].class].Tier - w.Classes[requests[j].class].Tier
	})
	seen := make(map[uint64]bool)
	total := 0
	for _, i := range order {
		r := &requests[i]
		if !f.serve(w, r, seen) || r.arrived >= until {
			continue
		}
		total += r.answer
	}
	return total
}

func (f *fluid) serve(w *Workload, r *request, seen map[uint64]bool) bool {
	uncached := r.prompt
	if r.prefixLen > 0 && seen[r.prefix] {
		uncached -= r.prefixLen
	}
	seen[r.prefix] = true
	load := &w.Classes[r.class]
	end := w.Duration + w.Drain
	if load.WholeAnswer > 0 {
		end = min(end, r.arrived+load.WholeAnswer)
	}
	start := end
	if load.FirstToken > 0 {
		start = min(end, r.arrived+load.FirstToken)
	}
	return f.place(r.arrived, start, end, engineSeconds(float64(uncached), float64(r.answer)))
}
