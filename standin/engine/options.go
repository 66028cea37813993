package engine

import "time"

// HeaderAnswerTokens sets the length of the answer, for tests.
const HeaderAnswerTokens = "Standin-Answer-Tokens"

// PathCounters is the stand-in's own path.
const PathCounters = "/counters"

// Defaults of Options.
const (
	DefaultMaxBatch      = 16
	DefaultMaxWaiting    = 256
	DefaultTokenTime     = 10 * time.Millisecond
	DefaultBatchSlowdown = 0.03
	DefaultPrefillTime   = 50 * time.Microsecond // per token
	DefaultPrefillChunk  = 512                   // tokens per step
	DefaultCacheTokens   = 100_000
	DefaultReportLag     = 500 * time.Millisecond
	DefaultEventDelay    = 300 * time.Millisecond
	DefaultLoadTime      = 2 * time.Second
	DefaultWeightBytes   = 64 << 20
)

// Options sets up a stand-in engine. The zero value of a field takes its
// default.
type Options struct {
	// Models lists the models that are loaded. Empty serves any model.
	Models []string
	// Role is the starting role.
	Role string
	// MaxBatch bounds the running requests, MaxWaiting the queued ones.
	MaxBatch   int
	MaxWaiting int
	// TokenTime is the time of a step with one request.
	TokenTime time.Duration
	// BatchSlowdown lengthens a step by that share for each further request.
	// Negative means none.
	BatchSlowdown float64
	// PrefillTime is the time for each prompt token that is not cached.
	PrefillTime time.Duration
	// PrefillChunk bounds the prompt tokens of one step.
	PrefillChunk int
	// CacheTokens bounds the prefix cache. Negative means no cache.
	CacheTokens int
	// EventDelay is how late a cache event is published. Negative means at
	// once.
	EventDelay time.Duration
	// EventLoss is the share, from 0 to 1, of the cache events that are lost.
	EventLoss float64
	// ReportLag is how far a load report lies in the past. Negative means no
	// lag.
	ReportLag time.Duration
	// ChecksFencing refuses orders with an old fencing number.
	ChecksFencing bool
	// Weights is where models and adapters are loaded from. Nil loads in
	// LoadTime.
	Weights *WeightStore
	// WeightBytes is the size of a model or adapter.
	WeightBytes int
	LoadTime    time.Duration
	// Seed feeds the choice of the cache events to lose.
	Seed uint64
}

// TokensPerSecond returns how many tokens the engine yields in a second with a
// full batch, prompts left out.
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
	setDefault(&o.EventDelay, DefaultEventDelay)
	setDefault(&o.ReportLag, DefaultReportLag)
	setDefault(&o.LoadTime, DefaultLoadTime)
	setDefault(&o.WeightBytes, DefaultWeightBytes)
	return o
}

// setDefault replaces a zero by its default and a negative value by zero.
func setDefault[N int | float64 | time.Duration](field *N, value N) {
	if *field == 0 {
		*field = value
	}
	*field = max(*field, 0)
}
