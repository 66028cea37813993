package bench

import "container/list"

// prefixCache holds prompt prefixes up to a number of tokens, and evicts the
// least recently used first.
type prefixCache struct {
	capacityTokens int
	usedTokens     int
	// recency lists the entries, the most recently used first.
	recency *list.List
	entries map[uint64]*list.Element
}

type cachedPrefix struct {
	digest uint64
	tokens int
}

func newPrefixCache(capacity int) prefixCache {
	return prefixCache{capacityTokens: capacity, recency: list.New(), entries: make(map[uint64]*list.Element)}
}

// lookup returns how many of the prefix's tokens are cached, and marks the
// prefix as used.
func (c *prefixCache) lookup(digest uint64, tokens int) int {
	el, ok := c.entries[digest]
	if !ok || tokens == 0 {
		return 0
	}
	c.recency.MoveToFront(el)
	return min(tokens, el.Value.(cachedPrefix).tokens)
}

// insert adds a prefix and reports whether it is new. It may exceed the
// capacity: the caller then calls evict.
func (c *prefixCache) insert(digest uint64, tokens int) bool {
	if el, ok := c.entries[digest]; ok {
		c.recency.MoveToFront(el)
		return false
	}
	c.entries[digest] = c.recency.PushFront(cachedPrefix{digest: digest, tokens: tokens})
	c.usedTokens += tokens
	return true
}

// evict removes the least recently used prefix and returns its digest, if the
// cache is over its capacity.
func (c *prefixCache) evict() (uint64, bool) {
	if c.usedTokens <= c.capacityTokens {
		return 0, false
	}
	el := c.recency.Back()
	entry := c.recency.Remove(el).(cachedPrefix)
	delete(c.entries, entry.digest)
	c.usedTokens -= entry.tokens
	return entry.digest, true
}
