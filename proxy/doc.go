// Package proxy serves callers. It parses requests of the OpenAI protocol, and
// forwards requests to plain services (services that are not engines) without
// parsing their bodies. It submits each request to the scheduler, sends it to the backend server that the
// scheduler grants, and relays the response.
//
// A request is read and checked. If it has an idempotency key and its route is
// not idempotent, the key is claimed. A ticket that describes the request is
// submitted to the scheduler. Once the scheduler grants a server, one attempt is
// sent there and its response is relayed. A cut stream is resumed at the same
// server. If the resume fails, the attempt is reported as failed, and the
// scheduler decides what follows.
//
// Guarantees:
//
//   - Each request gets one final outcome: completed, refused (not run) or
//     unknown (may have run). Refused is stated only if nothing was sent, or
//     if the backend server stated that it did not start the request.
//   - A request that an earlier attempt may have started is sent again only if it
//     came by an idempotent route, its route is idempotent in the configuration in
//     force, and its answer can go on at another server. This package checks the
//     rule directly before each send, whatever the scheduler decides.
//   - A caller gets the frames of its own request, each once and in order.
//   - When a caller leaves, its attempt is cancelled at the backend server.
//   - A refusal is sent as soon as it is decided, with a Retry-After time
//     unless the request itself is at fault.
package proxy
