package balancer

// The load this answers: most prompts begin with long parts that many requests
// share. A server that read a part keeps it, and reading it again elsewhere
// costs more than most waits.

import (
	"slices"
	"time"

	"bergamotpin.example/bergamotpin/rendezvous"
)

const (
	// keptFor is for how long a part is held to stay at a server after its last
	// use. Engines drop the parts that were used longest ago.
	keptFor = 30 * time.Second
	// maxKept bounds the parts that are remembered of a server.
	maxKept = 2048
)

// keptParts is what a server is held to keep, by what was sent there.
type keptParts struct {
	lastUse map[uint64]time.Time
}

func newKeptParts() keptParts { return keptParts{lastUse: make(map[uint64]time.Time)} }

// add records that a request with these parts was sent.
func (k *keptParts) add(parts []PrefixBlock, now time.Time) {
	if len(k.lastUse)+len(parts) > maxKept {
		k.shrink(now)
	}
	for _, p := range parts {
		k.lastUse[p.ID] = now
	}
}

// addIDs does the same for parts that a peer told of.
func (k *keptParts) addIDs(ids []uint64, now time.Time) {
	if len(k.lastUse)+len(ids) > maxKept {
		k.shrink(now)
	}
	for _, id := range ids {
		k.lastUse[id] = now
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
func (k *keptParts) tokens(parts []PrefixBlock, now time.Time) int {
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

// sharedParts are the parts that other prompts have too. The last is the
// request's own.
func (r Request) sharedParts() []PrefixBlock {
	if len(r.PrefixBlocks) < 2 {
		return nil
	}
	return r.PrefixBlocks[:len(r.PrefixBlocks)-1]
}

// memory estimates the tokens that a running request takes of an engine's
// memory. Half of its shared parts is counted, since several requests use them.
func (r Request) memory() int {
	return r.PromptTokens - sumTokens(r.sharedParts())/2 + r.AnswerTokens/2
}

// sumTokens counts the tokens of parts.
func sumTokens(parts []PrefixBlock) int {
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}

// home is the server that is first in order for a part, among those that are not
// left to more urgent requests: every instance that knows of no other place sends
// such prompts there.
func home(part uint64, servers []uint64, reserved reservation, position int) int {
	best := -1
	var most uint64
	for i, s := range servers {
		if reserved.barred(i, position) {
			continue
		}
		if w := rendezvous.Weight(part, s); best < 0 || w > most {
			best, most = i, w
		}
	}
	return best
}

// tellFor is for how long a part is told to the others: a few rounds, since a
// datagram may be lost.
const tellFor = 350 * time.Millisecond

// toldPart is a part and when it was sent.
type toldPart struct {
	id uint64
	at time.Time
}

// tell remembers parts for the next reports.
func (s *server) tell(parts []PrefixBlock, now time.Time) {
	for _, p := range parts {
		s.told = append(s.told, toldPart{p.ID, now})
	}
}

// toTell returns the parts to report, each once, and forgets older ones.
func (s *server) toTell(now time.Time) []uint64 {
	s.told = slices.DeleteFunc(s.told, func(p toldPart) bool { return now.Sub(p.at) > tellFor })
	var ids []uint64
	for _, p := range s.told {
		if !slices.Contains(ids, p.id) {
			ids = append(ids, p.id)
		}
	}
	return ids
}
