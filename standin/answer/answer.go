// Package answer defines the text that a stand-in engine generates. The text
// depends only on the prompt. A caller can thus check that it received the whole
// answer to its own request, even if several engines generated parts of it.
package answer

import (
	"encoding/hex"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"strings"

	"bergamotpin.example/bergamotpin/engineapi"
)

// PromptDigest identifies a prompt.
type PromptDigest uint64

// MetadataTokens is a key in a request's metadata. Its value sets the length of
// the answer in tokens.
const MetadataTokens = "answer_tokens"

// TokenBytes is the length of a token's text in bytes. All tokens have the same
// length.
const TokenBytes = 5

// Parameters of the lognormal distribution of answer lengths. It is used for
// requests that do not set a length.
const (
	medianLength = 120  // tokens
	lengthSigma  = 0.9  // standard deviation of the logarithm of the length
	maxLength    = 8192 // tokens; longer lengths are cut to this one
)

// DigestOf returns the digest of a prompt's messages. The digest does not depend
// on the model name, because routes replace the name.
func DigestOf(messages []engineapi.Message) PromptDigest {
	hash := fnv.New64a()
	for _, message := range messages {
		hash.Write([]byte(message.Role))
		hash.Write([]byte{0})
		hash.Write([]byte(message.Text()))
		hash.Write([]byte{0})
	}
	return PromptDigest(hash.Sum64())
}

// Token returns the text of token i of the answer, counted from 0.
func (d PromptDigest) Token(i int) string {
	mixed := mixBits(uint64(d) + uint64(i))
	raw := []byte{byte(mixed), byte(mixed >> 8)}
	return hex.EncodeToString(raw) + " "
}

// Text returns the text of the tokens with indexes from first to end-1.
func (d PromptDigest) Text(first, end int) string {
	var text strings.Builder
	for i := first; i < end; i++ {
		text.WriteString(d.Token(i))
	}
	return text.String()
}

// Length returns the length of the answer in tokens, for a request that does not
// set a length. The length depends on the prompt and the seed. Its distribution
// is heavy-tailed.
func (d PromptDigest) Length(seed int64) int {
	random := rand.New(rand.NewPCG(uint64(d), uint64(seed)))
	tokens := medianLength * math.Exp(lengthSigma*random.NormFloat64())
	return min(max(int(tokens), 1), maxLength)
}

// mixBits maps x to a value in which each bit depends on all bits of x. It is
// the finaliser of SplitMix64.
func mixBits(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
