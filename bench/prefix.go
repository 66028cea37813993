package bench

import "container/list"

// prefixCache holds prompt prefixes up to a number of tokens, and evicts the
// least recently used first.
type prefixCache struct {
	capacity int
	used     int
	order    *list.List
	entries  map[uint64]*list.Element
}

type cachedPrefix struct {
	digest uint64
	tokens int
}

func newPrefixCache(capacity int) prefixCache {
	return prefixCache{capacity: capacity, order: list.New(), entries: make(map[uint64]*list.Element)}
}

// lookup returns how many of the prefix's tokens are held.
func (c *prefixCache) lookup(digest uint64, tokens int) int {
	el, ok := c.entries[digest]
	if !ok || tokens == 0 {
		return 0
	}
	c.order.MoveToFront(el)
	return min(tokens, el.Value.(cachedPrefix).tokens)
}

// insert adds a prefix and reports whether it is new.
func (c *prefixCache) insert(digest uint64, tokens int) bool {
	if el, ok := c.entries[digest]; ok {
		c.order.MoveToFront(el)
		return false
	}
	c.entries[digest] = c.order.PushFront(cachedPrefix{digest: digest, tokens: tokens})
	c.used += tokens
	return true
}

// evict removes one prefix if the cache is over its capacity.
func (c *prefixCache) evict() (uint64, bool) {
	if c.used <= c.capacity {
		return 0, false
	}
	el := c.order.Back()
	entry := c.order.Remove(el).(cachedPrefix)
	delete(c.entries, entry.digest)
	c.used -= entry.tokens
	return entry.digest, true
}
