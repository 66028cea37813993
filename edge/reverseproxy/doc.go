// Package reverseproxy serves callers whose requests the router does not read: the
// route follows from host and path, and what is known of a request stands in
// its headers.
//
// The way of a request: read and check; choose a server; send; relay. After a
// failure, and if the route and the shared budget allow, it goes to another
// server. A stream that may be resumed goes on inside the same answer.
//
// Guarantees:
//
//   - A refusal (429, 503, 408) is given only if no server ran the request: it
//     was not sent, or each server stated that it did not run it.
//   - A request that may not be repeated is sent again only after such a
//     statement. The check stands beside the send.
//   - Key and route are looked up again before each send, in the configuration
//     that is in force then.
//   - A caller gets a success only with its server's signature and whole body.
//     A stream's events come once and in order; one that breaks off ends
//     without its end.
//   - When the caller leaves, the work at the server is stopped.
//   - A final answer is given as soon as it is known, and at the latest when the
//     request's or the route's time is over.
package reverseproxy
