package loadgen

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"slices"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/outcome"
)

// TraceRecord is one line of a trace: one request of a run, by arrival.
type TraceRecord struct {
	// At is the arrival in milliseconds since the run's start.
	At           float64 `json:"at"`
	Class        string  `json:"class"`
	Organisation string  `json:"org"`
	Model        string  `json:"model"`
	// Prompt and Answer are tokens; the prompt's prefix is part of it.
	Prompt       int    `json:"prompt"`
	Answer       int    `json:"answer"`
	MaxTokens    int    `json:"max,omitempty"`
	Prefix       uint64 `json:"prefix,omitempty"`
	PrefixTokens int    `json:"prefixTokens,omitempty"`
	// Service marks a call to a plain service.
	Service bool `json:"service,omitempty"`
	// LeftAfter is when the caller left, in milliseconds after the arrival.
	LeftAfter float64 `json:"left,omitempty"`
	// Outcome is the final outcome's name in package outcome.
	Outcome string `json:"outcome"`
	// Reason tells why the request was not completed.
	Reason string `json:"reason,omitempty"`
	// FirstToken and Whole are latencies in milliseconds.
	FirstToken float64 `json:"first,omitempty"`
	Whole      float64 `json:"whole,omitempty"`
}

func traceOf(q *request, r result) TraceRecord {
	out := TraceRecord{
		At:           millis(q.due.Microseconds()),
		Class:        q.class.Name,
		Organisation: q.organisation.Name,
		Model:        q.class.Route,
		Prompt:       q.promptTokens,
		Answer:       q.tokens,
		MaxTokens:    q.class.MaxTokens,
		Prefix:       q.prefix,
		PrefixTokens: q.prefixTokens,
		Service:      q.class.RouteSpec.Service,
		Outcome:      r.final.String(),
		Reason:       r.reason,
		FirstToken:   millis(r.firstToken.Microseconds()),
		Whole:        millis(r.whole.Microseconds()),
	}
	if r.final == outcome.Abandoned {
		out.LeftAfter = millis(q.leaveAfter.Microseconds())
	}
	return out
}

// writeTrace writes the trace by arrival.
func (l *ledger) writeTrace(w io.Writer) error {
	if w == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.SortStableFunc(l.trace, func(a, b TraceRecord) int { return cmp.Compare(a.At, b.At) })
	buffered := bufio.NewWriter(w)
	out := json.NewEncoder(buffered)
	for _, record := range l.trace {
		if err := out.Encode(record); err != nil {
			return errors.Wrap(err, "write trace")
		}
	}
	if err := buffered.Flush(); err != nil {
		return errors.Wrap(err, "write trace")
	}
	return nil
}

// ReadTrace reads a trace. It fails on a line that is no TraceRecord.
func ReadTrace(r io.Reader) ([]TraceRecord, error) {
	in := json.NewDecoder(r)
	in.DisallowUnknownFields()
	var out []TraceRecord
	for {
		var record TraceRecord
		err := in.Decode(&record)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "trace record %d", len(out)+1)
		}
		out = append(out, record)
	}
}
