// Package idempotency lets a non-idempotent request with an idempotency key run
// at most once, no matter how often and at which instances it arrives.
//
// Begin claims the key by creating an object at the platform if none exists.
// Only a request whose claim is Fresh may be sent, and only once. The other
// states describe the earlier request that claimed the key. If the platform
// does not confirm the claim, Begin fails with ErrStoreUnavailable: nothing was
// sent, and nothing may be sent.
//
// A create without a response is repeated with the same nonce. The platform
// then either creates the object or returns the existing claim, whose nonce
// tells the instance whether the claim is its own. A read would not tell this,
// because reads may be stale.
//
// Finish stores how the request ended. If the request did not run, Finish
// releases its key by deleting the claim. A claim without a stored outcome is
// InProgress until MaxRun has passed, and Unknown after that: its holder may
// have stopped before or after the send, and no other instance can tell which.
// Such a request is not run again.
//
// Claims are kept for Retention after their creation, as measured by the clocks
// of the instances, which may differ by up to MaxClockSkew. After that the key
// counts as new. Sweeper deletes expired claims.
package idempotency
