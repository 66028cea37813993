package engineapi

import "time"

// Headers of a completion.
const (
	// HeaderAttempt carries the attempt id, unique over all requests.
	HeaderAttempt = "Engine-Attempt"
	// HeaderPriority carries the priority, 0 first.
	HeaderPriority = "Engine-Priority"
	// HeaderHold carries for how many milliseconds the engine keeps a stream
	// whose connection broke. Absent, the engine cancels it.
	HeaderHold = "Engine-Hold"
	// HeaderNotStarted is "true" on a refusal that ran nothing. Plain services
	// use it too.
	HeaderNotStarted = "Not-Started"
)

// Paths of an engine.
const (
	PathCompletions = "/v1/chat/completions"
	PathStreams     = "/v1/streams/" // + attempt id
	PathLoad        = "/load"
	PathCache       = "/cache/events" // ?from=N, newline-delimited CacheEvent
	PathOrders      = "/orders"
	PathDrain       = "/drain"
	PathHealth      = "/healthz"
	PathFaults      = "/faults" // stand-ins only
)

// LoadReport is an engine's own account of its load. It lags.
type LoadReport struct {
	SampledAt time.Time `json:"sampledAt"`
	Running   int       `json:"running"`
	Waiting   int       `json:"waiting"`
	// KVUsed is the used share of the cache memory, from 0 to 1.
	KVUsed   float64 `json:"kvUsed"`
	Draining bool    `json:"draining"`
}

// CacheEvent reports a stored or evicted prompt prefix. Events come late and
// with gaps in Seq.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Prefix  uint64 `json:"prefix"` // digest of the prompt's prefix
	Tokens  int    `json:"tokens"`
	Evicted bool   `json:"evicted"`
}

// OrderKind names an order to an engine.
type OrderKind string

// The orders of an engine.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetRole     OrderKind = "set_role"
)

// Order asks for a state. Repeating an order is harmless.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
	// FencingToken is the fencing number of the lease under which the order is given.
	FencingToken int64 `json:"fence"`
}

// OrderState is what GET on PathOrders answers, and the answer to an order. An
// engine that checks fencing refuses an order older than FencingToken with status 409.
type OrderState struct {
	Models       []string `json:"models"`
	Adapters     []string `json:"adapters"`
	Role         string   `json:"role"`
	FencingToken int64    `json:"fence"`
	// Loading is the model or adapter whose weights are on the way, or empty.
	Loading string `json:"loading,omitempty"`
}

// EngineFaults switches a stand-in engine's faults.
type EngineFaults struct {
	// CrashAfterTokens drops every connection after that many tokens of each
	// stream, and the streams with them. Zero is off.
	CrashAfterTokens int `json:"crashAfterTokens"`
	// CutAfterTokens drops each connection once, keeping the stream.
	CutAfterTokens int `json:"cutAfterTokens"`
	// Slowdown multiplies all times. Zero means 1.
	Slowdown float64 `json:"slowdown"`
	// Frozen stops all progress.
	Frozen bool `json:"frozen"`
	// DoubleFrames sends each frame twice.
	DoubleFrames bool `json:"doubleFrames"`
	// LateFrames sends each frame again after the one that follows it.
	LateFrames bool `json:"lateFrames"`
	// NoReports stops the load reports.
	NoReports bool `json:"noReports"`
}
