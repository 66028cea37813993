// Package proxy serves callers: it takes requests over the OpenAI protocol and
// for plain services, whose requests it forwards without parsing them. It submits
// each request to its scheduler and relays the response of the backend server
// that the scheduler grants.
//
// A request is read and checked, its idempotency key is claimed if it has one,
// and a ticket that describes it is submitted to the scheduler. Once the
// scheduler grants a server, one attempt is sent and its response relayed.
// A cut stream is resumed at the same server. If that fails, the attempt is
// reported as failed and the scheduler decides what follows.
//
// Guarantees:
//
//   - Each request gets one final outcome: completed, refused (not run) or
//     unknown (may have run). Refused is stated only if nothing was sent, or
//     if the backend server stated that it did not start the request.
//   - A request that is not idempotent is sent again only if no earlier attempt
//     can have started. This is checked here, directly before the send,
//     whatever the scheduler decides.
//   - A caller gets the frames of its own request, each once and in order.
//   - When a caller leaves, its attempt is cancelled at the backend server.
//   - A refusal is sent as soon as it is decided, with a Retry-After time
//     unless the request itself is at fault.
package proxy
