package api

// Candidate is a backend server that had a free slot for a request. Score is in
// seconds; the server with the lowest score gets the request.
type Candidate struct {
	Server string  `json:"server"`
	Score  float64 `json:"score"`
}

// Explanation says how the scheduler reached a decision on a request.
type Explanation struct {
	Request      string `json:"request"`
	Model        string `json:"model"`
	Class        string `json:"class"`
	Organisation string `json:"organisation"`
	// Waited is the time that the request spent in the queue. Slack is the time
	// that was left until the request had to start. Expected is the wait that
	// was expected when the request was refused.
	Waited   Duration `json:"waited"`
	Slack    Duration `json:"slack"`
	Expected Duration `json:"expected,omitempty"`
	// Chosen is the server that got the request. It is empty for a refusal,
	// preemption or referral; Reason then says why.
	Chosen     string      `json:"chosen,omitempty"`
	Reason     string      `json:"reason,omitempty"`
	Candidates []Candidate `json:"candidates,omitempty"`
	// Omitted counts the candidates that are not listed because there were too
	// many.
	Omitted int `json:"omitted,omitempty"`
}
