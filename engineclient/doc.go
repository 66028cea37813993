// Package engineclient sends requests to backend servers.
//
// Each request is sent once. The client never repeats one by itself, also
// where net/http would (a request with an idempotency key on a connection that
// broke): a retry is the scheduler's decision.
//
// A failure says whether the server may have started. It did not start if no
// connection was had, or if the server stated so in the Not-Started header.
// Whatever else went wrong, it may have.
package engineclient
