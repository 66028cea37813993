package crashguard

// requestKind is the bit that tells the keys of requests from those of parts of prompts,
// which have 32 bits.
const requestKind = 1 << 32

// RequestKey returns the key of a whole request, from a hash of 32 bits that a request and its
// repeats share.
func RequestKey(hash uint64) uint64 { return hash | requestKind }

// IsRequest reports whether a key is that of a whole request.
func IsRequest(key uint64) bool { return key&requestKind != 0 }
