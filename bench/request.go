package bench

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/schedcore"
)

// phase is the state of a request at its entry instance.
type phase uint8

const (
	// phaseNew is the phase of a request that has not arrived yet.
	phaseNew phase = iota
	// phaseWaiting is the phase of a request that waits for a grant.
	phaseWaiting
	// phaseRunning is the phase of a request with a granted attempt.
	phaseRunning
	// phaseDone is the phase of a request that has an outcome.
	phaseDone
)

// request is one request of a caller. A refused caller that returns sends a new
// request.
type request struct {
	id schedcore.RequestID
	// class and organisation are indexes into the workload's lists.
	class        int
	organisation int
	arrivedAt    time.Duration
	promptTokens int
	answerTokens int
	prefix       uint64
	prefixTokens int
	// returns is the number of times that the caller returned, including the
	// return that sent this request. The number is zero in the caller's first
	// request.
	returns int
	// leaveAfter is how long after arrival the caller leaves of its own accord.
	// Zero means never.
	leaveAfter time.Duration

	phase   phase
	final   outcome.Final
	reason  outcome.Reason
	endedAt time.Duration
	// attempt is the number of the latest granted attempt, and server is the
	// index of its engine.
	attempt      uint32
	server       int
	firstGrantAt time.Duration
	sentAt       time.Duration
	// everGranted says that the request was granted at least once.
	everGranted bool
	// mayHaveRun says that an attempt reached an engine that was not down, so
	// that the engine may have worked on it.
	mayHaveRun   bool
	firstTokenAt time.Duration
	lastTokenAt  time.Duration
	// deliveredTokens counts the answer's tokens that the caller has received.
	deliveredTokens int
	// unreportedTokens counts the tokens delivered since the last progress report.
	unreportedTokens int
	lastProgressAt   time.Duration
	// prefilledTokens and decodedTokens count all tokens computed for the
	// request, over all attempts.
	prefilledTokens int
	decodedTokens   int
	// usefulPrefill is the number of prompt tokens prefilled by the attempt
	// that generated the answer's first token.
	usefulPrefill int
}

// A request ID begins with the request's index plus one, and ends with the
// number of its entry instance.
const (
	idIndexBytes   = 8
	instanceOffset = 15
)

// newRequestID returns the ID of the request at the index. The ID is never all
// zero, and contains the number of the request's entry instance.
func newRequestID(index int) schedcore.RequestID {
	var id schedcore.RequestID
	binary.BigEndian.PutUint64(id[:idIndexBytes], uint64(index)+1)
	id[instanceOffset] = byte(index % entryInstances)
	return id
}

func requestIndex(id schedcore.RequestID) int32 {
	return int32(binary.BigEndian.Uint64(id[:idIndexBytes]) - 1)
}

func entryInstance(id schedcore.RequestID) int {
	return int(id[instanceOffset]) % entryInstances
}

// generateRequests draws the first requests of all callers of a workload, in
// order of arrival.
func generateRequests(w *Workload, seed uint64) []request {
	var requests []request
	for class := range w.Classes {
		rng := rand.New(rand.NewPCG(seed, uint64(class)))
		requests = append(requests, generateClassRequests(w, class, rng)...)
	}
	slices.SortStableFunc(requests, func(a, b request) int {
		return int(a.arrivedAt - b.arrivedAt)
	})
	for i := range requests {
		requests[i].id = newRequestID(i)
	}
	return requests
}

func generateClassRequests(w *Workload, class int, rng *rand.Rand) []request {
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
		arrivedAt:    at,
		promptTokens: load.PromptLengths.sample(rng),
		answerTokens: load.AnswerLengths.sample(rng),
	}
	if load.LeaveShare > 0 && rng.Float64() < load.LeaveShare {
		r.leaveAfter = load.LeaveAfter
	}
	if load.Prefixes == 0 {
		return r
	}
	// Requests of different classes never share a prefix.
	r.prefix = uint64(class+1)<<32 | uint64(rng.IntN(load.Prefixes)+1)
	r.prefixTokens = min(load.PrefixTokens, r.promptTokens)
	return r
}

// drawOrganisation draws the index of an organisation, with probabilities in
// proportion to the shares.
func drawOrganisation(organisations []OrganisationLoad, rng *rand.Rand) int {
	total := 0.0
	for _, o := range organisations {
		total += o.Share
	}
	remaining := rng.Float64() * total
	for i, o := range organisations {
		remaining -= o.Share
		if remaining < 0 {
			return i
		}
	}
	return len(organisations) - 1
}
