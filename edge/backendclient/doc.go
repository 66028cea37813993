// Package backendclient sends requests to backend servers over HTTP/1.1, one at a
// time on each connection, and reads their responses.
//
// Connections are pooled. An idle connection is closed before the server would close
// it. The number of connections to each server is bounded.
//
// Guarantees:
//
//   - Each request is sent once. A failure says whether the server may have
//     run it.
//   - A response belongs to its request: a response with the ID of another request
//     is dropped, and a connection with unexpected bytes is closed.
//   - A truncated response never looks complete.
//   - When a request's context ends, the request's connection is closed. This makes
//     the server stop working on the request.
package backendclient
