package balancer

// Most prompts begin with long prefix blocks that many requests share. When an
// engine has processed a block, the block stays in the engine's prefix cache.
// Any other engine has to prefill the block again. A second prefill usually
// takes longer than the wait for a busy engine that has the block cached.

import (
	"slices"
	"time"

	"bergamotpin.example/bergamotpin/rendezvous"
)

const (
	// cachedBlockTimeout is how long a block is assumed to stay in a server's
	// cache after its last use. Engines evict the least recently used blocks.
	cachedBlockTimeout = 30 * time.Second
	// maxCachedBlocks is the largest number of blocks that are remembered for
	// each server.
	maxCachedBlocks = 2048
)

// blockCache estimates the contents of a server's prefix cache from the
// requests that were sent to the server.
type blockCache struct {
	// lastUsed holds the time of the last use of each block, by block ID.
	lastUsed map[uint64]time.Time
}

func newBlockCache() blockCache { return blockCache{lastUsed: make(map[uint64]time.Time)} }

// add records that a request with these blocks was sent to the server.
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

// prune drops the blocks whose last use was more than half of
// cachedBlockTimeout ago. If more than half of maxCachedBlocks remain, prune
// drops all blocks.
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
// A block counts only if all blocks before it are cached too.
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

// memoryTokens estimates how many tokens the running request occupies in an
// engine's memory. The tokens of its shared blocks count half, since several
// requests use these blocks. The tokens of the request's answer count half too.
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

// preferredServer returns the index of the server that all instances prefer if
// no server is known to have a block cached. Requests with the same block then
// go to one server. Servers that are reserved for more urgent requests are left
// out. The preferred server is the remaining server with the highest rendezvous
// weight for the block. If no server remains, the result is -1.
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

// blockReportPeriod is how long a block is included in reports after it was
// sent. The period spans several reports, since a datagram may be lost.
const blockReportPeriod = 350 * time.Millisecond

// recentBlock is a prefix block that this instance sent or that a peer reported.
type recentBlock struct {
	id uint64
	// recordedAt is when this instance sent the block, or when the peer's report
	// of the block arrived.
	recordedAt time.Time
}

// recordSentBlocks stores blocks that were sent to the server. The next reports
// will include them.
func (s *server) recordSentBlocks(blocks []PrefixBlock, now time.Time) {
	for _, block := range blocks {
		s.sentBlocks = append(s.sentBlocks, recentBlock{block.ID, now})
	}
}

// blocksToReport returns the IDs of the blocks sent within the last
// blockReportPeriod, each ID once. It drops the older blocks.
func (s *server) blocksToReport(now time.Time) []uint64 {
	s.sentBlocks = slices.DeleteFunc(s.sentBlocks, func(block recentBlock) bool { return now.Sub(block.recordedAt) > blockReportPeriod })
	var ids []uint64
	for _, block := range s.sentBlocks {
		if !slices.Contains(ids, block.id) {
			ids = append(ids, block.id)
		}
	}
	return ids
}
