package balancer

// Most prompts begin with long prefix blocks that many requests share. An
// engine keeps the blocks that it processed in its prefix cache. At any other
// engine the blocks have to be prefilled again, which usually takes longer than
// waiting for a busy engine.

import (
	"slices"
	"time"

	"bergamotpin.example/bergamotpin/rendezvous"
)

const (
	// cachedBlockTimeout is how long a block is assumed to stay in a server's
	// cache after its last use. Engines evict the least recently used blocks.
	cachedBlockTimeout = 30 * time.Second
	// maxCachedBlocks bounds the blocks remembered for each server.
	maxCachedBlocks = 2048
)

// blockCache estimates the contents of a server's prefix cache from the
// requests sent there.
type blockCache struct {
	lastUsed map[uint64]time.Time
}

func newBlockCache() blockCache { return blockCache{lastUsed: make(map[uint64]time.Time)} }

// add records that a request with these blocks was sent.
func (c *blockCache) add(blocks []PrefixBlock, now time.Time) {
	if len(c.lastUsed)+len(blocks) > maxCachedBlocks {
		c.prune(now)
	}
	for _, block := range blocks {
		c.lastUsed[block.ID] = now
	}
}

// addIDs records blocks that a peer reported.
func (c *blockCache) addIDs(ids []uint64, now time.Time) {
	if len(c.lastUsed)+len(ids) > maxCachedBlocks {
		c.prune(now)
	}
	for _, id := range ids {
		c.lastUsed[id] = now
	}
}

// prune drops the blocks that were not used for half of cachedBlockTimeout, or
// all blocks if more than half of maxCachedBlocks would remain.
func (c *blockCache) prune(now time.Time) {
	for id, at := range c.lastUsed {
		if now.Sub(at) > cachedBlockTimeout/2 {
			delete(c.lastUsed, id)
		}
	}
	if len(c.lastUsed) > maxCachedBlocks/2 {
		clear(c.lastUsed)
	}
}

// cachedTokens counts the tokens of the cached blocks at the start of a prompt.
// A block counts only if all blocks before it are cached.
func (c *blockCache) cachedTokens(blocks []PrefixBlock, now time.Time) int {
	sum := 0
	for _, block := range blocks {
		at, ok := c.lastUsed[block.ID]
		if !ok || now.Sub(at) > cachedBlockTimeout {
			break
		}
		sum += block.Tokens
	}
	return sum
}

// sharedBlocks returns the blocks that other prompts may share. The last block
// belongs to this request alone.
func (r Request) sharedBlocks() []PrefixBlock {
	if len(r.PrefixBlocks) < 2 {
		return nil
	}
	return r.PrefixBlocks[:len(r.PrefixBlocks)-1]
}

// memoryTokens estimates the tokens that the running request occupies in an
// engine's memory. Only half of its shared blocks is counted, since several
// requests use them.
func (r Request) memoryTokens() int {
	return r.PromptTokens - sumTokens(r.sharedBlocks())/2 + r.AnswerTokens/2
}

func sumTokens(blocks []PrefixBlock) int {
	sum := 0
	for _, block := range blocks {
		sum += block.Tokens
	}
	return sum
}

// preferredServer returns the index of the first server in rendezvous order for
// a block, leaving out those that are reserved for more urgent requests. If no
// server is known to have the block cached, all instances prefer this server,
// so that requests with the same block meet at one cache. The result is -1 if
// all servers are reserved.
func preferredServer(blockID uint64, servers []uint64, reserved reservation, priorityIndex int) int {
	best := -1
	var bestWeight uint64
	for i, s := range servers {
		if reserved.excludes(i, priorityIndex) {
			continue
		}
		if w := rendezvous.Weight(blockID, s); best < 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return best
}

// blockReportPeriod is how long after its send a block is included in reports.
// It spans several reports, since a datagram may be lost.
const blockReportPeriod = 350 * time.Millisecond

// sentBlock is the ID of a prefix block and the time when it was sent or its
// report arrived.
type sentBlock struct {
	id     uint64
	sentAt time.Time
}

// recordSentBlocks stores blocks that were sent to the server, to include them
// in the next reports.
func (s *server) recordSentBlocks(blocks []PrefixBlock, now time.Time) {
	for _, block := range blocks {
		s.sentBlocks = append(s.sentBlocks, sentBlock{block.ID, now})
	}
}

// blocksToReport returns the IDs of the blocks sent within the last
// blockReportPeriod, each once, and drops the older ones.
func (s *server) blocksToReport(now time.Time) []uint64 {
	s.sentBlocks = slices.DeleteFunc(s.sentBlocks, func(block sentBlock) bool { return now.Sub(block.sentAt) > blockReportPeriod })
	var ids []uint64
	for _, block := range s.sentBlocks {
		if !slices.Contains(ids, block.id) {
			ids = append(ids, block.id)
		}
	}
	return ids
}
