package api

// Candidate is a backend server that had a free slot for a request. Score is the
// server's score in seconds. The server with the lowest score gets the request.
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
	// that was left until the latest possible start of the request.
	// ExpectedWait is the wait that the scheduler expected for a request that
	// it refused.
	Waited       Duration `json:"waited"`
	Slack        Duration `json:"slack"`
	ExpectedWait Duration `json:"expected,omitempty"`
	// Chosen is the server that got the request. If the decision is a refusal,
	// preemption or referral, Chosen is empty and Reason is the cause.
	Chosen     string      `json:"chosen,omitempty"`
	Reason     string      `json:"reason,omitempty"`
	Candidates []Candidate `json:"candidates,omitempty"`
	// Omitted is the number of candidates that are left out because there were too
	// many to list.
	Omitted int `json:"omitted,omitempty"`
}
