// Package proxy serves callers: it takes requests over the OpenAI protocol and
// for plain services, brings each to its scheduler, and relays the answer of
// the backend server that was granted.
//
// The way of a request: read and check, claim its idempotency key if it has
// one, submit a ticket, wait for a verdict, send one attempt, relay. A cut
// stream is resumed at the same server. If that fails, the attempt is reported
// as failed and the scheduler decides.
//
// Guarantees:
//
//   - Each request gets one final outcome: completed, refused (not run) or
//     unknown (may have run). Refused is claimed only if nothing was sent, or
//     if the backend server stated that it did not start.
//   - A request that is not idempotent is sent again only if no earlier attempt
//     can have started. The check stands here, beside the send, whatever
//     verdicts say.
//   - A caller gets the frames of its own request, each once and in order.
//   - When a caller leaves, its attempt is cancelled at the backend server.
//   - A refusal is answered as soon as it is decided, with a time to return
//     unless the request itself is at fault.
package proxy
