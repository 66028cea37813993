// Package engineclient sends requests to backend servers.
//
// Each request is sent once. The client does not retry, not even where net/http
// does by default (a request with an idempotency key whose connection broke),
// because the scheduler decides about retries. It has a connection of its own,
// so that no response to another request can be taken for its answer.
//
// An error states whether the server may have started the request. The server
// certainly did not start it if no connection could be opened, or if the
// response has the Not-Started header. After every other error the request may
// have been started.
package engineclient
