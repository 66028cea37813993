package choice

// The load this answers: most prompts begin with long parts that many requests
// share. A server that read a part keeps it, and reading it again elsewhere
// costs more than most waits.

import (
	"time"

	"bergamotpin.example/bergamotpin/placement"
)

const (
	// keptFor is for how long a part is held to stay at a server after its last
	// use. Engines drop the parts that were used longest ago.
	keptFor = 30 * time.Second
	// maxKept bounds the parts that are remembered of a server.
	maxKept = 2048
)

// keptParts is what a server is held to keep, by what this instance sent there.
type keptParts struct {
	lastUse map[uint64]time.Time
}

func newKeptParts() keptParts { return keptParts{lastUse: make(map[uint64]time.Time)} }

// add records that a request with these parts was sent.
func (k *keptParts) add(parts []Part, now time.Time) {
	if len(k.lastUse)+len(parts) > maxKept {
		k.shrink(now)
	}
	for _, p := range parts {
		k.lastUse[p.ID] = now
	}
}

// shrink drops the parts that were not used lately, or all if that is too few.
func (k *keptParts) shrink(now time.Time) {
	for id, at := range k.lastUse {
		if now.Sub(at) > keptFor/2 {
			delete(k.lastUse, id)
		}
	}
	if len(k.lastUse) > maxKept/2 {
		clear(k.lastUse)
	}
}

// tokens counts the tokens of the leading parts that are kept. A part counts
// only if all before it are kept.
func (k *keptParts) tokens(parts []Part, now time.Time) int {
	sum := 0
	for _, p := range parts {
		at, ok := k.lastUse[p.ID]
		if !ok || now.Sub(at) > keptFor {
			break
		}
		sum += p.Tokens
	}
	return sum
}

// shared returns the tokens that the request's prompt shares with others, and
// the part that decides where such prompts go. The last part is its own.
func (r Request) shared() (tokens int, key uint64) {
	if len(r.Parts) < 2 {
		return 0, 0
	}
	for _, p := range r.Parts[:len(r.Parts)-1] {
		tokens += p.Tokens
	}
	return tokens, r.Parts[len(r.Parts)-2].ID
}

// home is the server that is first in order for the key: every instance sends
// such prompts there as long as it can.
func home(key uint64, servers []uint64) int {
	best := -1
	var most uint64
	for i, s := range servers {
		if w := placement.Weight(key, s); best < 0 || w > most {
			best, most = i, w
		}
	}
	return best
}
