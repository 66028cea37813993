package reverseproxy

import (
	"strconv"
	"strings"

	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/crashguard"
	"bergamotpin.example/bergamotpin/platform"
)

const (
	// maxSharedBlocks bounds the prefix blocks of a request by which crashes are told
	// apart. Prompts have a few.
	maxSharedBlocks = 32
	// maxLoggedBlocks bounds the prefix blocks that one log line names.
	maxLoggedBlocks = 8
)

// sharedBlocks returns the keys of all prefix blocks but the last one, which belongs to
// one request alone.
func sharedBlocks(blocks []platform.PrefixBlock) []uint64 {
	if len(blocks) < 2 {
		return nil
	}
	shared := blocks[:min(len(blocks)-1, maxSharedBlocks)]
	keys := make([]uint64, len(shared))
	for i, block := range shared {
		keys[i] = balancer.PrefixBlockKey(block.ID)
	}
	return keys
}

// blockNames returns the first keys of prefix blocks in hexadecimal form for a log line.
func blockNames(keys []uint64) string {
	var names strings.Builder
	for i, key := range keys[:min(len(keys), maxLoggedBlocks)] {
		if i > 0 {
			names.WriteByte(',')
		}
		names.WriteString(strconv.FormatUint(key, 16))
	}
	return names.String()
}

// suspectNames returns the first suspects for a log line, each as KEY:SERVERS or, after
// failed tries, KEY:SERVERS/TRIES.
func suspectNames(suspects []crashguard.Suspect) string {
	var names strings.Builder
	for i, s := range suspects[:min(len(suspects), maxLoggedBlocks)] {
		if i > 0 {
			names.WriteByte(',')
		}
		names.WriteString(strconv.FormatUint(s.Key, 16) + ":" + strconv.Itoa(s.Servers))
		if s.FailedTries > 0 {
			names.WriteString("/" + strconv.Itoa(s.FailedTries))
		}
	}
	return names.String()
}
