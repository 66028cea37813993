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

// TraceRecord is one line of a trace and describes one request of a run.
type TraceRecord struct {
	// DueAtMillis is the time at which the request was due, in milliseconds
	// since the start of the run.
	DueAtMillis  float64 `json:"at"`
	Class        string  `json:"class"`
	Organisation string  `json:"org"`
	Model        string  `json:"model"`
	// PromptTokens and AnswerTokens are lengths in tokens. PromptTokens
	// includes the shared prefix.
	PromptTokens int    `json:"prompt"`
	AnswerTokens int    `json:"answer"`
	MaxTokens    int    `json:"max,omitempty"`
	Prefix       uint64 `json:"prefix,omitempty"`
	PrefixTokens int    `json:"prefixTokens,omitempty"`
	// Service is true for a call to a plain service.
	Service bool `json:"service,omitempty"`
	// LeftAfterMillis is the time from DueAtMillis until the caller left, in milliseconds.
	LeftAfterMillis float64 `json:"left,omitempty"`
	// Outcome is the name of the final outcome, as package outcome defines it.
	Outcome string `json:"outcome"`
	// Reason says why the request was not completed.
	Reason string `json:"reason,omitempty"`
	// FirstTokenMillis and WholeMillis are latencies in milliseconds.
	FirstTokenMillis float64 `json:"first,omitempty"`
	WholeMillis      float64 `json:"whole,omitempty"`
}

func traceOf(q *request, r sendResult) TraceRecord {
	out := TraceRecord{
		DueAtMillis:      microsToMillis(q.dueAt.Microseconds()),
		Class:            q.class.Name,
		Organisation:     q.organisation.Name,
		Model:            q.class.Route,
		PromptTokens:     q.promptTokens,
		AnswerTokens:     q.answerTokens,
		MaxTokens:        q.class.MaxTokens,
		Prefix:           q.prefix,
		PrefixTokens:     q.prefixTokens,
		Service:          q.class.RouteSpec.Service,
		Outcome:          r.finalOutcome.String(),
		Reason:           r.reason,
		FirstTokenMillis: microsToMillis(r.firstToken.Microseconds()),
		WholeMillis:      microsToMillis(r.whole.Microseconds()),
	}
	if r.finalOutcome == outcome.Abandoned {
		out.LeftAfterMillis = microsToMillis(q.leaveAfter.Microseconds())
	}
	return out
}

// writeTrace writes the records in order of arrival.
func (a *accounting) writeTrace(w io.Writer) error {
	if w == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	slices.SortStableFunc(a.trace, func(a, b TraceRecord) int { return cmp.Compare(a.DueAtMillis, b.DueAtMillis) })
	buffered := bufio.NewWriter(w)
	out := json.NewEncoder(buffered)
	for _, record := range a.trace {
		if err := out.Encode(record); err != nil {
			return errors.Wrap(err, "write trace")
		}
	}
	if err := buffered.Flush(); err != nil {
		return errors.Wrap(err, "write trace")
	}
	return nil
}

// ReadTrace reads a trace that Run wrote. It returns an error for a line that
// is not a TraceRecord.
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
