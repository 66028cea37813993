package engineapi

import "time"

// Headers of a completion request and its response.
const (
	// HeaderAttempt carries the attempt id, which is unique over all requests.
	HeaderAttempt = "Engine-Attempt"
	// HeaderPriority carries the priority. 0 is the most urgent.
	HeaderPriority = "Engine-Priority"
	// HeaderHold carries the time in milliseconds for which the engine keeps a
	// stream after its connection broke. Without the header the engine cancels
	// the stream at once.
	HeaderHold = "Engine-Hold"
	// HeaderNotStarted is "true" on the refusal of a request that was not
	// started. Services that are not model engines use it too.
	HeaderNotStarted = "Not-Started"
)

// URL paths of an engine.
const (
	PathCompletions = "/v1/chat/completions"
	PathStreams     = "/v1/streams/"  // followed by the attempt id
	PathLoad        = "/load"         // response: LoadReport
	PathCache       = "/cache/events" // query: from=N; response: CacheEvent values as JSON lines
	PathOrders      = "/orders"
	PathDrain       = "/drain"
	PathHealth      = "/healthz"
	PathFaults      = "/faults" // served by stand-ins only
)

// LoadReport is an engine's report of its own load at the time SampledAt, which
// lies in the past.
type LoadReport struct {
	SampledAt time.Time `json:"sampledAt"`
	Running   int       `json:"running"`
	Waiting   int       `json:"waiting"`
	// KVUsed is the used fraction of the KV cache memory, from 0 to 1.
	KVUsed   float64 `json:"kvUsed"`
	Draining bool    `json:"draining"`
}

// CacheEvent reports a prompt prefix that was stored in the prefix cache or
// evicted from it. Events arrive late, and some are lost, which leaves gaps in
// Seq.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Prefix  uint64 `json:"prefix"` // digest of the prefix, see PromptPrefix
	Tokens  int    `json:"tokens"`
	Evicted bool   `json:"evicted"`
}

// OrderKind is the kind of an order to an engine.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetRole     OrderKind = "set_role"
)

// Order asks an engine for a state: a loaded model, a loaded adapter or a role.
// Sending the same order again has no further effect.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
	// FencingToken is the fencing token of the lease under which the order is
	// sent.
	FencingToken int64 `json:"fence"`
}

// OrderState is the response to an order and to a GET on PathOrders. An engine
// that checks fencing tokens refuses an order with a lower token than
// FencingToken with status 409.
type OrderState struct {
	Models       []string `json:"models"`
	Adapters     []string `json:"adapters"`
	Role         string   `json:"role"`
	FencingToken int64    `json:"fence"`
	// Loading is the model or adapter whose weights are being loaded, or empty.
	Loading string `json:"loading,omitempty"`
}

// EngineFaults configures the faults that a stand-in engine injects. The zero
// value has none.
type EngineFaults struct {
	// CrashAfterTokens is the number of tokens after which the engine crashes
	// each stream: it drops the stream and its connection. 0 means never.
	CrashAfterTokens int `json:"crashAfterTokens"`
	// CutAfterTokens is the number of tokens after which the engine drops the
	// connection of each stream, once per stream. The stream itself goes on. 0
	// means never.
	CutAfterTokens int `json:"cutAfterTokens"`
	// Slowdown is the factor by which the duration of a step is multiplied, and
	// that of loading weights without a shared weight store. 0 means 1.
	Slowdown float64 `json:"slowdown"`
	// Frozen stops all progress and holds all requests except those for the
	// faults and the counters.
	Frozen bool `json:"frozen"`
	// DoubleFrames makes the engine send each frame twice.
	DoubleFrames bool `json:"doubleFrames"`
	// LateFrames makes the engine send each frame a second time, after the
	// frame that follows it.
	LateFrames bool `json:"lateFrames"`
	// NoReports makes the engine refuse requests for load reports.
	NoReports bool `json:"noReports"`
}
