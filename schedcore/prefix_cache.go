package schedcore

import "time"

// Limits of prefixTable.
const (
	maxPrefixes      = 8192
	holdersPerPrefix = 4
	// hintLifetime is how long a prefix is assumed to stay cached after a grant
	// or a cache hint.
	hintLifetime = 10 * time.Minute
)

// prefixHolder is a server that is believed to have a prefix cached.
type prefixHolder struct {
	server     int32
	tokens     int32
	recordedAt time.Duration
}

// prefixEntry holds the servers that are believed to have one prefix cached.
type prefixEntry struct {
	digest       uint64
	holders      [holdersPerPrefix]prefixHolder
	count        int
	recentlyUsed bool // the clock algorithm does not replace the entry while this is set
}

// prefixTable records which servers have which prompt prefixes cached. Its
// entries may be outdated, missing or wrong. A full table replaces entries
// with the clock algorithm.
type prefixTable struct {
	entries   []prefixEntry
	index     map[uint64]int32
	clockHand int // index of the entry that the clock algorithm examines next
}

func newPrefixTable() prefixTable {
	return prefixTable{index: make(map[uint64]int32)}
}

func (t *prefixTable) entryFor(digest uint64) *prefixEntry {
	if i, ok := t.index[digest]; ok {
		return &t.entries[i]
	}
	if len(t.entries) < maxPrefixes {
		t.entries = append(t.entries, prefixEntry{digest: digest})
		t.index[digest] = int32(len(t.entries) - 1)
		return &t.entries[len(t.entries)-1]
	}
	for t.entries[t.clockHand].recentlyUsed {
		t.entries[t.clockHand].recentlyUsed = false
		t.clockHand = (t.clockHand + 1) % len(t.entries)
	}
	e := &t.entries[t.clockHand]
	delete(t.index, e.digest)
	t.index[digest] = int32(t.clockHand)
	t.clockHand = (t.clockHand + 1) % len(t.entries)
	*e = prefixEntry{digest: digest}
	return e
}

// addHolder records that a server has a prefix cached.
func (t *prefixTable) addHolder(digest uint64, h prefixHolder) {
	if digest == 0 || h.tokens <= 0 {
		return
	}
	e := t.entryFor(digest)
	e.recentlyUsed = true
	for i := range e.holders[:e.count] {
		if e.holders[i].server == h.server {
			e.holders[i] = h
			return
		}
	}
	if e.count < holdersPerPrefix {
		e.holders[e.count] = h
		e.count++
		return
	}
	oldest := 0
	for i := range e.holders {
		if e.holders[i].recordedAt < e.holders[oldest].recordedAt {
			oldest = i
		}
	}
	e.holders[oldest] = h
}

// removeHolder records that a server evicted a prefix.
func (t *prefixTable) removeHolder(digest uint64, server int32) {
	i, ok := t.index[digest]
	if !ok {
		return
	}
	e := &t.entries[i]
	for k := range e.holders[:e.count] {
		if e.holders[k].server == server {
			e.count--
			e.holders[k] = e.holders[e.count]
			return
		}
	}
}

// holders returns the servers believed to have a prefix cached.
func (t *prefixTable) holders(digest uint64) []prefixHolder {
	i, ok := t.index[digest]
	if !ok || digest == 0 {
		return nil
	}
	e := &t.entries[i]
	e.recentlyUsed = true
	return e.holders[:e.count]
}

// cachedTokensOn returns how many of a ticket's prompt tokens the server is
// believed to have cached.
func cachedTokensOn(t *Ticket, holders []prefixHolder, server int32, now time.Duration) int {
	for _, h := range holders {
		if h.server == server {
			return cachedTokens(t, h, now)
		}
	}
	return 0
}

// cachedTokens returns how many of a ticket's prompt tokens the holder is
// believed to have cached.
func cachedTokens(t *Ticket, h prefixHolder, now time.Duration) int {
	if now-h.recordedAt >= hintLifetime {
		return 0
	}
	return min(int(h.tokens), t.PrefixTokens, t.PromptTokens)
}
