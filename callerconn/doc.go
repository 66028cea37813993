// Package callerconn holds the kept connections of an http.Server and closes them
// without cutting a request.
//
// net/http counts a connection as idle until it has read the next request's whole header.
// http.Server.Shutdown and http.Server.SetKeepAlivesEnabled close such connections, and so
// the connection of a request that is being read. Neither is to be used with a Tracker.
//
// Guarantees:
//
//   - A connection is closed for being idle or unused only if no byte of a request was read
//     from it. Only the goroutine that reads from the connection decides this.
//   - If there are more connections than its bounds allow, a Tracker ends some on which nothing
//     happens for a while: also one whose head or body doesn't come on, or whose caller takes
//     nothing of a response. The request of such a head or body was not handled (CloseBody).
//   - Once AnnounceFromNowOn was called, each response whose header is not written yet says
//     that it is the last one on its connection (AnnounceClose).
//   - Once CloseWhenIdle was called, each connection is closed after the response to the
//     request that it carries, or at once if it is idle.
package callerconn
