package engine

import (
	"container/list"
	"math/rand/v2"
	"time"

	"bergamotpin.example/bergamotpin/engineapi"
)

// cacheHistory is how many events the engine keeps for its readers.
const cacheHistory = 4096

// prefix is one entry of the cache.
type prefix struct {
	digest uint64
	tokens int
}

// publication is an event and when readers may see it.
type publication struct {
	at    time.Time
	event engineapi.CacheEvent
}

// prefixCache holds the prompts' prefixes, the least recently used leaving
// first, and the events about them. The engine's lock guards it.
type prefixCache struct {
	limit  int // tokens
	delay  time.Duration
	loss   float64
	random *rand.Rand

	used    int
	order   *list.List // of prefix, most recently used first
	entries map[uint64]*list.Element
	seq     uint64
	events  []publication
}

func newPrefixCache(opts Options) *prefixCache {
	return &prefixCache{
		limit:   opts.CacheTokens,
		delay:   opts.EventDelay,
		loss:    opts.EventLoss,
		random:  rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		order:   list.New(),
		entries: make(map[uint64]*list.Element),
	}
}

// touch reports whether the prefix is cached and marks it as used.
func (c *prefixCache) touch(digest uint64) bool {
	element, ok := c.entries[digest]
	if ok {
		c.order.MoveToFront(element)
	}
	return ok
}

// store caches a prefix, evicting others as needed.
func (c *prefixCache) store(now time.Time, digest uint64, tokens int) {
	if digest == 0 || tokens > c.limit || c.touch(digest) {
		return
	}
	for c.used+tokens > c.limit {
		c.evictLast(now)
	}
	c.entries[digest] = c.order.PushFront(prefix{digest: digest, tokens: tokens})
	c.used += tokens
	c.publish(now, engineapi.CacheEvent{Prefix: digest, Tokens: tokens})
}

func (c *prefixCache) evictLast(now time.Time) {
	last := c.order.Back()
	entry := c.order.Remove(last).(prefix)
	delete(c.entries, entry.digest)
	c.used -= entry.tokens
	c.publish(now, engineapi.CacheEvent{Prefix: entry.digest, Tokens: entry.tokens, Evicted: true})
}

// publish numbers the event and, unless it gets lost, makes it visible after
// the delay.
func (c *prefixCache) publish(now time.Time, event engineapi.CacheEvent) {
	c.seq++
	event.Seq = c.seq
	if c.loss > 0 && c.random.Float64() < c.loss {
		return
	}
	c.events = append(c.events, publication{at: now.Add(c.delay), event: event})
	if over := len(c.events) - cacheHistory; over > 0 {
		c.events = append(c.events[:0], c.events[over:]...)
	}
}

// since returns the visible events from that number on.
func (c *prefixCache) since(now time.Time, from uint64) []engineapi.CacheEvent {
	var out []engineapi.CacheEvent
	for _, p := range c.events {
		if p.event.Seq >= from && !p.at.After(now) {
			out = append(out, p.event)
		}
	}
	return out
}
