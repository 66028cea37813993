// Package answer defines the text that a stand-in engine answers with. It
// follows from the prompt alone, so that a caller can check that it received
// the whole answer to its own request, from whichever engines.
package answer

import (
	"encoding/hex"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"strings"

	"bergamotpin.example/bergamotpin/engineapi"
)

// Digest identifies a prompt.
type Digest uint64

// MetadataTokens is the key in a request's metadata that sets the length of
// its answer in tokens.
const MetadataTokens = "answer_tokens"

// TokenBytes is the length of each token's text.
const TokenBytes = 5

// Length of an answer that nothing else bounds: lognormal, in tokens.
const (
	medianTokens = 120
	sigma        = 0.9
	maxTokens    = 8192
)

// DigestOf returns the digest of the messages. The model's name is no part of
// it, because routes replace it.
func DigestOf(messages []engineapi.Message) Digest {
	hash := fnv.New64a()
	for _, message := range messages {
		hash.Write([]byte(message.Role))
		hash.Write([]byte{0})
		hash.Write([]byte(message.Text()))
		hash.Write([]byte{0})
	}
	return Digest(hash.Sum64())
}

// Token returns the text of the answer's token i, counted from 0.
func (d Digest) Token(i int) string {
	mixed := mix(uint64(d) + uint64(i))
	raw := []byte{byte(mixed), byte(mixed >> 8)}
	return hex.EncodeToString(raw) + " "
}

// Text returns the text of the tokens from first up to end, exclusive.
func (d Digest) Text(first, end int) string {
	var text strings.Builder
	for i := first; i < end; i++ {
		text.WriteString(d.Token(i))
	}
	return text.String()
}

// Length returns the answer's tokens under a seed. Lengths have a heavy tail.
func (d Digest) Length(seed int64) int {
	random := rand.New(rand.NewPCG(uint64(d), uint64(seed)))
	tokens := medianTokens * math.Exp(sigma*random.NormFloat64())
	return min(max(int(tokens), 1), maxTokens)
}

// mix spreads x over all bits (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
