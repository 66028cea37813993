// Package idempotency lets a non-idempotent request with an idempotency key
// run at most once, whichever instance gets it and however often.
//
// Begin claims the key by creating an object at the platform if it is absent.
// Only a Fresh claim may be sent, once. Any other state tells what is known of
// the request that holds the key. If the platform does not confirm the claim,
// Begin fails with ErrStoreUnavailable: nothing was sent and nothing may be.
//
// An unanswered create is repeated with the same nonce. The platform then
// either creates the object, or names the nonce of the claim that holds the
// key, so that the instance learns whether it is its own. A read would not do:
// it may be stale.
//
// Finish stores how the request ended. A request that did not run gives its
// key free. A claim without an end is InProgress until MaxRun has passed, and
// Unknown from then on: its holder may have stopped before the send or after
// it, and no other instance can tell which. It is not run again.
//
// Claims are kept for Retention after they were made, by the clocks of the
// instances, which may differ by up to MaxClockSkew. After that the key counts
// as new. Sweeper deletes old claims.
package idempotency
