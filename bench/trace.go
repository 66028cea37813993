package bench

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/decision"
)

// TraceRecord is what a replay reads of one line of a trace that
// `bergamotpin load --record` wrote.
type TraceRecord struct {
	// At is the arrival in milliseconds since the run's start.
	At           float64 `json:"at"`
	Class        string  `json:"class"`
	Organisation string  `json:"org"`
	Model        string  `json:"model"`
	Prompt       int     `json:"prompt"`
	Answer       int     `json:"answer"`
	Prefix       uint64  `json:"prefix,omitempty"`
	PrefixTokens int     `json:"prefixTokens,omitempty"`
	Service      bool    `json:"service,omitempty"`
	// LeftAfter is when the caller left, in milliseconds after the arrival.
	LeftAfter float64 `json:"left,omitempty"`
	// Outcome is how the request ended when the trace was recorded.
	Outcome string `json:"outcome"`
}

// ReadTrace reads a trace and skips calls to plain services, which no core
// schedules by tokens.
func ReadTrace(r io.Reader) ([]TraceRecord, error) {
	in := json.NewDecoder(bufio.NewReader(r))
	var out []TraceRecord
	for line := 1; ; line++ {
		var record TraceRecord
		err := in.Decode(&record)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "trace record %d", line)
		}
		if !record.Service {
			out = append(out, record)
		}
	}
}

// Replay plays a trace's arrivals through the policy in place of the
// workload's own. Organisations are taken from the trace; a class that the
// workload lacks is an error.
func Replay(w Workload, trace []TraceRecord, policy Policy, seed uint64) (Result, error) {
	w.Organisations = traceOrganisations(trace)
	requests, err := traceRequests(&w, trace)
	if err != nil {
		return Result{}, err
	}
	d := newDriver(&w, requests, policy, seed)
	d.loop()
	return d.result(), nil
}

func traceOrganisations(trace []TraceRecord) []OrganisationLoad {
	var out []OrganisationLoad
	seen := make(map[string]bool)
	for _, record := range trace {
		if seen[record.Organisation] {
			continue
		}
		seen[record.Organisation] = true
		o := decision.Organisation{Name: record.Organisation, Weight: 1}
		out = append(out, OrganisationLoad{Organisation: o})
	}
	return out
}

func traceRequests(w *Workload, trace []TraceRecord) ([]request, error) {
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
			id: newID(i), class: class, organisation: organisation,
			arrived: millis(record.At),
			prompt:  max(record.Prompt, 1), answer: max(record.Answer, 1),
			prefix: record.Prefix, prefixLen: min(record.PrefixTokens, record.Prompt),
			leaveAfter: millis(record.LeftAfter),
		})
	}
	return requests, nil
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
