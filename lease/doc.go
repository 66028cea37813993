// Package lease grants a named duty to one instance at a time. A lease is an
// object at the platform with a holder, a fencing token and a duration.
//
// The holder measures its term on the monotonic clock, starting before it sends
// the request that acquires or renews the lease, and stops acting a margin
// before the end. A renewal without a response does not count. An instance that
// wants a lease held by another waits for the full duration after it first saw
// the object's latest version, measured on its own monotonic clock. So clocks
// of different instances are never compared.
//
// The fencing token of each new term is higher than those of all earlier terms,
// even if the object was deleted in between. A renewal keeps the token.
//
// Guarantee: at any moment, Valid returns true at one instance at most,
// provided that no clock runs faster than another by more than the ratio of
// Margin to Duration. The guarantee covers only the moment at which Valid
// returns. An instance that is paused after the call, or whose message is
// delayed, acts late. The receiver of its orders must therefore refuse a stale
// fencing token. docs/LEASES.md describes the risk that remains if it does not.
package lease
