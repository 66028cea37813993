package engineapi

import "time"

// Headers of a completion request and its response.
const (
	// HeaderAttempt carries the attempt id, which is unique over all requests.
	HeaderAttempt = "Engine-Attempt"
	// HeaderPriority carries the priority. 0 is the most urgent.
	HeaderPriority = "Engine-Priority"
	// HeaderHold carries the time in milliseconds for which the engine keeps a
	// stream after its connection broke. Without this header the engine cancels
	// the stream as soon as the connection breaks.
	HeaderHold = "Engine-Hold"
	// HeaderNotStarted is "true" in the response that refuses a request before
	// its start. Services that are not model engines use this header too.
	HeaderNotStarted = "Not-Started"
)

// URL paths of an engine.
const (
	PathCompletions = "/v1/chat/completions"
	PathStreams     = "/v1/streams/"  // followed by the attempt id
	PathLoad        = "/load"         // response: LoadReport
	PathCacheEvents = "/cache/events" // query from=N: events from Seq N on; response: JSON lines of CacheEvent
	PathOrders      = "/orders"       // POST: an Order; response to GET and POST: OrderState
	PathDrain       = "/drain"        // POST starts a drain, DELETE ends it
	PathHealth      = "/healthz"      // response: status 200
	PathFaults      = "/faults"       // served by stand-ins only
)

// LoadReport is an engine's report of its own load.
type LoadReport struct {
	// SampledAt is the time in the past at which the engine had this load.
	SampledAt time.Time `json:"sampledAt"`
	// Running and Waiting are the numbers of running and queued requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// KVUsed is the used fraction of the KV cache memory, from 0 to 1.
	KVUsed   float64 `json:"kvUsed"`
	Draining bool    `json:"draining"`
}

// CacheEvent reports a prompt prefix that was stored in the prefix cache or
// evicted from it. Events arrive late, and some are lost.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`    // increases by 1 with each event, lost ones included
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

// Order is a command to an engine: load a model, load an adapter, or take a
// role. Sending the same order again has no further effect.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
	// FencingToken is the fencing token of the lease that the sender holds.
	FencingToken int64 `json:"fence"`
}

// OrderState is the state that an engine has reached through its orders. It is
// the response to an order and to a GET on PathOrders.
type OrderState struct {
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	// FencingToken is the token of the last order. An engine that checks tokens
	// refuses an order with a lower token with status 409.
	FencingToken int64 `json:"fence"`
	// Loading is the model or adapter whose weights are being loaded, or empty.
	Loading string `json:"loading,omitempty"`
}

// EngineFaults configures the faults that a stand-in engine injects. With the
// zero value the engine injects no faults.
type EngineFaults struct {
	// CrashAfterTokens is the number of tokens after which the engine drops each
	// stream and its connection. 0 means never.
	CrashAfterTokens int `json:"crashAfterTokens"`
	// CutAfterTokens is the number of tokens after which the engine drops the
	// connection of each stream, once per stream. The stream itself continues.
	// 0 means never.
	CutAfterTokens int `json:"cutAfterTokens"`
	// Slowdown multiplies the duration of each step. It also multiplies the time
	// to load weights, unless the weights come from a shared weight store. 0
	// means 1.
	Slowdown float64 `json:"slowdown"`
	// Frozen stops all progress. Requests wait until Frozen is false again,
	// except requests for the faults and the counters.
	Frozen bool `json:"frozen"`
	// DuplicateFrames makes the engine send each frame twice.
	DuplicateFrames bool `json:"doubleFrames"`
	// LateFrames makes the engine send each frame a second time, after the
	// frame that follows it.
	LateFrames bool `json:"lateFrames"`
	// NoReports makes the engine refuse requests for load reports.
	NoReports bool `json:"noReports"`
}
