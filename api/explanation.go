package api

// Candidate is a backend server that had room for a request, with its score in
// seconds. The least score won.
type Candidate struct {
	Server string  `json:"server"`
	Score  float64 `json:"score"`
}

// Explanation says how one decision about a request came about.
type Explanation struct {
	Request      string `json:"request"`
	Model        string `json:"model"`
	Class        string `json:"class"`
	Organisation string `json:"organisation"`
	// Waited is the time in the queue, Slack what was left until the request
	// had to start, Expected the wait that was expected at a refusal.
	Waited   Duration `json:"waited"`
	Slack    Duration `json:"slack"`
	Expected Duration `json:"expected,omitempty"`
	// Chosen is empty for a refusal, preemption or referral; Reason says why.
	Chosen     string      `json:"chosen,omitempty"`
	Reason     string      `json:"reason,omitempty"`
	Candidates []Candidate `json:"candidates,omitempty"`
	// Omitted counts the candidates beyond the record's bound.
	Omitted int `json:"omitted,omitempty"`
}
