// Package backendclient sends requests to backend servers, one at a time on each
// connection, and reads their answers.
//
// Connections are kept and used again, and closed before the server would close
// them. Their number for each server is bounded.
//
// Guarantees:
//
//   - Each request is sent once. A failure says whether the server may have
//     run it.
//   - An answer is that of the request: one that names another request is
//     dropped, and a connection with bytes that nobody asked for is closed.
//   - An answer that breaks off never looks complete.
//   - The work of a request whose context ends is stopped by closing its
//     connection.
package backendclient
