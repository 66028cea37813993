package serve

import (
	"encoding/hex"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/scheduler"
)

// explain returns the recorded explanations of the scheduling decisions for a
// request, or for all requests if request is "". The result covers only
// decisions that this instance's scheduler made.
func (i *Instance) explain(request string) []api.Explanation {
	out := []api.Explanation{}
	for _, e := range i.localScheduler.Explanations() {
		if id := hex.EncodeToString(e.ID[:]); request == "" || id == request {
			out = append(out, explanation(id, e))
		}
	}
	return out
}

// explanation converts a scheduler's explanation to the type of the operators'
// API.
func explanation(id string, e scheduler.Explanation) api.Explanation {
	out := api.Explanation{
		Request:      id,
		Model:        e.Model,
		Class:        e.Class,
		Organisation: e.Organisation,
		Waited:       api.Duration(e.Waited),
		Slack:        api.Duration(e.Slack),
		ExpectedWait: api.Duration(e.ExpectedWait),
		Chosen:       e.Chosen,
		Omitted:      e.Omitted,
	}
	if e.Reason != outcome.ReasonNone {
		out.Reason = e.Reason.String()
	}
	for _, c := range e.Candidates {
		out.Candidates = append(out.Candidates, api.Candidate{Server: c.Server, Score: c.Score})
	}
	return out
}
