// Package lease lets one instance at a time act for a name, by an object of the
// platform with a holder, a fencing number and a duration.
//
// The holder counts its time on the monotonic clock from before it sent the
// request that took or renewed the lease, and stops a margin before the end.
// A renewal without an answer is not a renewal. An instance that wants a held
// lease waits, on its own monotonic clock, for the full duration after it
// first saw the object's last version, so that no two clocks are compared.
//
// Each new term has a fencing number above that of all terms before it, also
// after the object was deleted. A renewal keeps the number.
//
// Guarantee: at any moment, at most one instance finds Valid true, provided
// that no clock runs faster than another's by more than Margin over Duration.
// The guarantee ends where Valid returned: an instance that is paused after it
// asked, or whose message is on the way, acts late. Whoever receives its orders
// has to refuse an old fencing number; docs/LEASES.md says what remains where
// it does not.
package lease
