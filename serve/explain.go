package serve

import (
	"encoding/hex"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/scheduler"
)

// explain returns the explanations that this instance's pools keep of a
// request, or all of them if it is "".
func (i *Instance) explain(request string) []api.Explanation {
	out := []api.Explanation{}
	for _, e := range i.local.Explanations() {
		if id := hex.EncodeToString(e.ID[:]); request == "" || id == request {
			out = append(out, explanation(id, e))
		}
	}
	return out
}

func explanation(id string, e scheduler.Explanation) api.Explanation {
	out := api.Explanation{
		Request:      id,
		Model:        e.Model,
		Class:        e.Class,
		Organisation: e.Organisation,
		Waited:       api.Duration(e.Waited),
		Slack:        api.Duration(e.Slack),
		Expected:     api.Duration(e.Expected),
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
