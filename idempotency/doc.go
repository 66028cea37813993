// Package idempotency lets a non-idempotent request with an idempotency key run
// at most once, no matter how often and at which instances it arrives.
//
// Begin claims the key by creating an object at the platform if none exists.
// Only a request whose claim is Fresh may be sent, and only once. The other
// states describe the earlier request that claimed the key. If the platform
// does not confirm the claim, Begin fails with ErrStoreUnavailable. The request
// was then not sent and must not be sent.
//
// If a create gets no response, Begin repeats it with the same nonce. The
// platform then either creates the object or returns the existing claim. If the
// claim's nonce is the same, the instance made the claim itself. A read could
// not replace this second create, because reads may be stale.
//
// Finish stores how the request ended. If the request did not run, Finish
// releases its key by deleting the claim. A claim without a stored outcome is
// InProgress until MaxRunTime has passed, and Unknown after that. Its holder
// may have stopped before or after the send, and no other instance can tell
// which. So the request is not run again.
//
// A claim is kept for Retention after its creation. The instances measure this
// time with their own clocks, which may differ by up to MaxClockSkew. When the
// time has passed at every instance, the key counts as new. Sweeper deletes
// expired claims.
package idempotency
