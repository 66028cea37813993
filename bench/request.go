package bench

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/schedcore"
)

type phase uint8

const (
	phaseNew phase = iota
	phaseWaiting
	phaseRunning
	phaseDone
)

// request is one visit of a caller. A refused caller that comes back makes a
// new one.
type request struct {
	id           schedcore.RequestID
	class        int
	organisation int
	arrived      time.Duration
	prompt       int
	answer       int
	prefix       uint64
	prefixLen    int
	// visit is zero for the caller's first, and counts its returns.
	visit int
	// leaveAfter is when the caller leaves of its own will. Zero for never.
	leaveAfter time.Duration

	phase  phase
	final  outcome.Final
	reason outcome.Reason
	ended  time.Duration
	// attempt and server are the last granted ones.
	attempt uint32
	server  int
	granted time.Duration
	sent    time.Duration
	// everGranted says that at least one grant came.
	everGranted bool
	// mayHaveRun says that a byte went to an engine that did not state that it
	// had not started.
	mayHaveRun bool
	firstAt    time.Duration
	lastAt     time.Duration
	// delivered counts the answer's tokens that the caller has.
	delivered int
	// unreported counts delivered tokens since the last progress message.
	unreported   int
	lastProgress time.Duration
	// prefilled and decoded count all tokens computed for the request.
	prefilled int
	decoded   int
	// usefulPrompt is the prefill of the attempt that made the answer begin.
	usefulPrompt int
}

const (
	idIndexBytes   = 8
	instanceOffset = 15
)

// newID returns the identifier of the request at index, never all zero.
func newID(index int) schedcore.RequestID {
	var id schedcore.RequestID
	binary.BigEndian.PutUint64(id[:idIndexBytes], uint64(index)+1)
	id[instanceOffset] = byte(index % instances)
	return id
}

func indexOf(id schedcore.RequestID) int32 {
	return int32(binary.BigEndian.Uint64(id[:idIndexBytes]) - 1)
}

func instanceOf(id schedcore.RequestID) int {
	return int(id[instanceOffset]) % instances
}

// generate draws all first visits of a workload, in order of arrival.
func generate(w *Workload, seed uint64) []request {
	var all []request
	for class := range w.Classes {
		rng := rand.New(rand.NewPCG(seed, uint64(class)))
		all = append(all, generateClass(w, class, rng)...)
	}
	slices.SortStableFunc(all, func(a, b request) int {
		return int(a.arrived - b.arrived)
	})
	for i := range all {
		all[i].id = newID(i)
	}
	return all
}

func generateClass(w *Workload, class int, rng *rand.Rand) []request {
	var out []request
	load := &w.Classes[class]
	for i, rate := range load.Rates {
		end := w.Duration
		if i+1 < len(load.Rates) {
			end = min(load.Rates[i+1].From, end)
		}
		if rate.PerSecond <= 0 {
			continue
		}
		at := rate.From
		for {
			at += time.Duration(rng.ExpFloat64() / rate.PerSecond * float64(time.Second))
			if at >= end {
				break
			}
			out = append(out, drawRequest(w, class, at, rng))
		}
	}
	return out
}

func drawRequest(w *Workload, class int, at time.Duration, rng *rand.Rand) request {
	load := &w.Classes[class]
	r := request{
		class:        class,
		organisation: drawOrganisation(w.Organisations, rng),
		arrived:      at,
		prompt:       load.Prompt.sample(rng),
		answer:       load.Answer.sample(rng),
	}
	if load.LeaveShare > 0 && rng.Float64() < load.LeaveShare {
		r.leaveAfter = load.LeaveAfter
	}
	if load.Prefixes == 0 {
		return r
	}
	r.prefix = uint64(class+1)<<32 | uint64(rng.IntN(load.Prefixes)+1)
	r.prefixLen = min(load.PrefixTokens, r.prompt)
	return r
}

func drawOrganisation(all []OrganisationLoad, rng *rand.Rand) int {
	total := 0.0
	for _, o := range all {
		total += o.Share
	}
	v := rng.Float64() * total
	for i, o := range all {
		v -= o.Share
		if v < 0 {
			return i
		}
	}
	return len(all) - 1
}
