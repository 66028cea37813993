package schedcore

import "time"

// Sizes of the table of prefixes.
const (
	maxPrefixes      = 8192
	holdersPerPrefix = 4
	// hintLife is for how long a hint is believed.
	hintLife = 10 * time.Minute
)

// holder is a server that is thought to hold a prefix.
type holder struct {
	server int32
	tokens int32
	at     time.Duration
}

type prefixEntry struct {
	digest  uint64
	holders [holdersPerPrefix]holder
	count   int
	used    bool
}

// prefixTable remembers which servers hold which prompt prefix. Its entries are
// hints: they may be late, missing or wrong. A clock hand picks the entry to
// replace.
type prefixTable struct {
	entries []prefixEntry
	index   map[uint64]int32
	hand    int
}

func newPrefixTable() prefixTable {
	return prefixTable{index: make(map[uint64]int32)}
}

func (t *prefixTable) entry(digest uint64) *prefixEntry {
	if i, ok := t.index[digest]; ok {
		return &t.entries[i]
	}
	if len(t.entries) < maxPrefixes {
		t.entries = append(t.entries, prefixEntry{digest: digest})
		t.index[digest] = int32(len(t.entries) - 1)
		return &t.entries[len(t.entries)-1]
	}
	for t.entries[t.hand].used {
		t.entries[t.hand].used = false
		t.hand = (t.hand + 1) % len(t.entries)
	}
	e := &t.entries[t.hand]
	delete(t.index, e.digest)
	t.index[digest] = int32(t.hand)
	t.hand = (t.hand + 1) % len(t.entries)
	*e = prefixEntry{digest: digest}
	return e
}

// note records that a server holds a prefix.
func (t *prefixTable) note(digest uint64, h holder) {
	if digest == 0 || h.tokens <= 0 {
		return
	}
	e := t.entry(digest)
	e.used = true
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
		if e.holders[i].at < e.holders[oldest].at {
			oldest = i
		}
	}
	e.holders[oldest] = h
}

// forget records that a server lost a prefix.
func (t *prefixTable) forget(digest uint64, server int32) {
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

// holders returns the servers thought to hold a prefix.
func (t *prefixTable) holders(digest uint64) []holder {
	i, ok := t.index[digest]
	if !ok || digest == 0 {
		return nil
	}
	e := &t.entries[i]
	e.used = true
	return e.holders[:e.count]
}

// cachedOn returns how many of a ticket's prompt tokens the server is thought
// to hold.
func cachedOn(t *Ticket, holders []holder, server int32, now time.Duration) int {
	for _, h := range holders {
		if h.server == server {
			return cachedTokens(t, h, now)
		}
	}
	return 0
}

// cachedTokens returns how many of a ticket's prompt tokens a holder has.
func cachedTokens(t *Ticket, h holder, now time.Duration) int {
	if now-h.at >= hintLife {
		return 0
	}
	return min(int(h.tokens), t.PrefixTokens, t.PromptTokens)
}
