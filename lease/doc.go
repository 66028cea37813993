// Package lease grants a named duty to one instance at a time. A lease is an
// object at the platform with a holder, a fencing token and a duration.
//
// The holder measures its term on its own monotonic clock. The term begins
// before the holder sends the request that acquires or renews the lease, and
// the holder stops acting a margin before the term's end. A renewal without a
// response does not count. If an instance wants a lease that another one holds,
// it waits until the lease's object has not changed for the full duration. It
// measures this time on its own monotonic clock, from the moment at which it
// first saw the object's latest version. So clocks of different instances are
// never compared.
//
// Each new term has a higher fencing token than all earlier terms, even if the
// object was deleted in between. A renewal keeps the token.
//
// Guarantee: at any moment, CurrentTerm returns true at one instance at most,
// provided that no clock runs faster than another by more than the ratio of
// Margin to Duration. The guarantee covers only the moment at which CurrentTerm
// returns. If an instance is paused after the call, or its message is delayed,
// it acts late. The receiver of its orders must therefore refuse a stale
// fencing token. docs/LEASES.md describes the risk that remains if the receiver
// does not.
package lease
