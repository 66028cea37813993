package engine

import "time"

// HeaderAnswerTokens is a request header that sets the length of the answer in
// tokens. Tests use it.
const HeaderAnswerTokens = "Standin-Answer-Tokens"

// PathCounters is the URL path of the counters, which a real engine does not
// have.
const PathCounters = "/counters"

// Default values of Options.
const (
	DefaultMaxBatch      = 16
	DefaultMaxWaiting    = 256
	DefaultTokenTime     = 10 * time.Millisecond
	DefaultBatchSlowdown = 0.03                  // fraction of the token time
	DefaultPrefillTime   = 50 * time.Microsecond // per token
	DefaultPrefillChunk  = 512                   // tokens per step
	DefaultCacheTokens   = 100_000               // size of the prefix cache
	DefaultReportLag     = 500 * time.Millisecond
	DefaultEventDelay    = 300 * time.Millisecond
	DefaultLoadTime      = 2 * time.Second
	DefaultWeightBytes   = 64 << 20 // of one model or adapter
)

// Options configures a stand-in engine. A field that is zero gets its default
// value, if it has a default.
type Options struct {
	// Models lists the loaded models. If it is empty, the engine serves any
	// model.
	Models []string
	// Role is the engine's role at the start.
	Role string
	// MaxBatch is the largest number of running requests. MaxWaiting is the
	// largest number of queued requests.
	MaxBatch   int
	MaxWaiting int
	// TokenTime is the duration of a step that generates one token for a single
	// request.
	TokenTime time.Duration
	// BatchSlowdown is the fraction of TokenTime that each request beyond the
	// first adds to a step. A negative value means 0.
	BatchSlowdown float64
	// PrefillTime is the time to compute one prompt token that is not cached.
	PrefillTime time.Duration
	// PrefillChunk is the largest number of prompt tokens computed in one step.
	PrefillChunk int
	// CacheTokens is the size of the prefix cache in tokens. A negative value
	// means no cache.
	CacheTokens int
	// CacheEventDelay is the time after which a cache event becomes visible to
	// callers. A negative value means no delay.
	CacheEventDelay time.Duration
	// CacheEventLoss is the fraction of cache events that are lost, from 0 to
	// 1.
	CacheEventLoss float64
	// ReportLag is the age of the state that a load report shows. A negative
	// value means no lag.
	ReportLag time.Duration
	// ChecksFencing makes the engine refuse an order if its fencing token is
	// lower than that of the last order.
	ChecksFencing bool
	// Weights is the store from which models and adapters are loaded. If it is
	// nil, each load takes LoadTime.
	Weights *WeightStore
	// WeightBytes is the size of the weights of one model or adapter.
	WeightBytes int
	// LoadTime is the time to load a model or adapter if Weights is nil.
	LoadTime time.Duration
	// Seed is the seed of the random numbers that choose the cache events to
	// lose.
	Seed uint64
}

// TokensPerSecond returns how many answer tokens the engine generates per second
// if its batch is full and no step computes prompt tokens.
func (o Options) TokensPerSecond() float64 {
	o = o.withDefaults()
	step := o.TokenTime.Seconds() * (1 + o.BatchSlowdown*float64(o.MaxBatch-1))
	return float64(o.MaxBatch) / step
}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxBatch, DefaultMaxBatch)
	setDefault(&o.MaxWaiting, DefaultMaxWaiting)
	setDefault(&o.TokenTime, DefaultTokenTime)
	setDefault(&o.BatchSlowdown, DefaultBatchSlowdown)
	setDefault(&o.PrefillTime, DefaultPrefillTime)
	setDefault(&o.PrefillChunk, DefaultPrefillChunk)
	setDefault(&o.CacheTokens, DefaultCacheTokens)
	setDefault(&o.CacheEventDelay, DefaultEventDelay)
	setDefault(&o.ReportLag, DefaultReportLag)
	setDefault(&o.LoadTime, DefaultLoadTime)
	setDefault(&o.WeightBytes, DefaultWeightBytes)
	return o
}

// setDefault sets a field that is zero to its default, and a negative field to
// zero.
func setDefault[N int | float64 | time.Duration](field *N, value N) {
	if *field == 0 {
		*field = value
	}
	*field = max(*field, 0)
}
