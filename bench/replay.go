package bench

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/loadgen"
	"bergamotpin.example/bergamotpin/schedcore"
)

// Replay simulates the arrivals of a trace that loadgen recorded, instead of
// the workload's own. Organisations are taken from the trace. Calls to plain
// services, which are no model engines, are left out, because the core doesn't
// schedule them by tokens. Replay returns an error if the trace names a class
// that the workload lacks.
func Replay(w Workload, trace []loadgen.TraceRecord, policy Policy, seed uint64) (Result, error) {
	trace = slices.DeleteFunc(slices.Clone(trace), func(r loadgen.TraceRecord) bool { return r.Service })
	w.Organisations = traceOrganisations(trace)
	requests, err := traceRequests(&w, trace)
	if err != nil {
		return Result{}, err
	}
	d := newDriver(&w, requests, policy, seed)
	d.run()
	return d.result(), nil
}

func traceOrganisations(trace []loadgen.TraceRecord) []OrganisationLoad {
	var out []OrganisationLoad
	seen := make(map[string]bool)
	for _, record := range trace {
		if seen[record.Organisation] {
			continue
		}
		seen[record.Organisation] = true
		o := schedcore.Organisation{Name: record.Organisation, Weight: 1}
		out = append(out, OrganisationLoad{Organisation: o})
	}
	return out
}

func traceRequests(w *Workload, trace []loadgen.TraceRecord) ([]request, error) {
	requests := make([]request, 0, len(trace))
	for i, record := range trace {
		class := slices.IndexFunc(w.Classes, func(c ClassLoad) bool { return c.Name == record.Class })
		if class < 0 {
			return nil, errors.Errorf("trace record %d: class %q is not in workload %s", i+1, record.Class, w.Name)
		}
		organisation := slices.IndexFunc(w.Organisations, func(o OrganisationLoad) bool {
			return o.Name == record.Organisation
		})
		requests = append(requests, request{
			id: newRequestID(i), class: class, organisation: organisation,
			arrivedAt:    millisToDuration(record.DueAtMillis),
			promptTokens: max(record.PromptTokens, 1), answerTokens: max(record.AnswerTokens, 1),
			prefix: record.Prefix, prefixTokens: min(record.PrefixTokens, record.PromptTokens),
			leaveAfter: millisToDuration(record.LeftAfterMillis),
		})
	}
	return requests, nil
}

func millisToDuration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
