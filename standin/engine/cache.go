package engine

import (
	"container/list"
	"math/rand/v2"
	"time"

	"bergamotpin.example/bergamotpin/engineapi"
)

// maxCacheEvents is the largest number of cache events that the engine keeps for
// callers who read them.
const maxCacheEvents = 4096

// cachedPrefix is one prompt prefix in the prefix cache.
type cachedPrefix struct {
	digest uint64
	tokens int
}

// delayedEvent is a cache event that callers can read from visibleAt on.
type delayedEvent struct {
	visibleAt time.Time
	event     engineapi.CacheEvent
}

// prefixCache is an LRU cache of prompt prefixes and the history of its events.
// The engine's lock guards the cache.
type prefixCache struct {
	maxTokens  int
	eventDelay time.Duration
	eventLoss  float64 // probability that an event is lost
	random     *rand.Rand

	usedTokens int
	lru        *list.List // of cachedPrefix, most recently used first
	entries    map[uint64]*list.Element
	seq        uint64         // number of the last event
	events     []delayedEvent // oldest first
}

func newPrefixCache(opts Options) *prefixCache {
	return &prefixCache{
		maxTokens:  opts.CacheTokens,
		eventDelay: opts.CacheEventDelay,
		eventLoss:  opts.CacheEventLoss,
		random:     rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		lru:        list.New(),
		entries:    make(map[uint64]*list.Element),
	}
}

// use reports whether a prefix is cached, and marks a cached prefix as the most
// recently used.
func (c *prefixCache) use(digest uint64) bool {
	element, ok := c.entries[digest]
	if ok {
		c.lru.MoveToFront(element)
	}
	return ok
}

// store adds a prefix and evicts the least recently used prefixes to make room.
// It does nothing if the digest is 0 or the prefix is larger than the cache.
func (c *prefixCache) store(now time.Time, digest uint64, tokens int) {
	if digest == 0 || tokens > c.maxTokens || c.use(digest) {
		return
	}
	for c.usedTokens+tokens > c.maxTokens {
		c.evictLeastRecent(now)
	}
	c.entries[digest] = c.lru.PushFront(cachedPrefix{digest: digest, tokens: tokens})
	c.usedTokens += tokens
	c.publish(now, engineapi.CacheEvent{Prefix: digest, Tokens: tokens})
}

func (c *prefixCache) evictLeastRecent(now time.Time) {
	last := c.lru.Back()
	entry := c.lru.Remove(last).(cachedPrefix)
	delete(c.entries, entry.digest)
	c.usedTokens -= entry.tokens
	c.publish(now, engineapi.CacheEvent{Prefix: entry.digest, Tokens: entry.tokens, Evicted: true})
}

// publish numbers an event and makes it visible after eventDelay. A lost event
// has a number too, so that a gap in the numbers shows the loss.
func (c *prefixCache) publish(now time.Time, event engineapi.CacheEvent) {
	c.seq++
	event.Seq = c.seq
	if c.eventLoss > 0 && c.random.Float64() < c.eventLoss {
		return
	}
	c.events = append(c.events, delayedEvent{visibleAt: now.Add(c.eventDelay), event: event})
	if over := len(c.events) - maxCacheEvents; over > 0 {
		c.events = append(c.events[:0], c.events[over:]...)
	}
}

// visibleEvents returns the events that are already visible, without the events
// whose number is lower than minSeq.
func (c *prefixCache) visibleEvents(now time.Time, minSeq uint64) []engineapi.CacheEvent {
	var out []engineapi.CacheEvent
	for _, p := range c.events {
		if p.event.Seq >= minSeq && !p.visibleAt.After(now) {
			out = append(out, p.event)
		}
	}
	return out
}
