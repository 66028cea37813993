// Package eventlog writes structured log lines without ever blocking the caller.
//
// Lines are JSON, one for each event. They go to a bounded buffer, from which one
// goroutine writes them out. If the reader of the log stops reading, the buffer
// fills, and lines are dropped and counted: first those about successful requests, then
// those about failed requests, and last those about state changes. A state change is a
// change of the instance's own state or of its view of servers, peers and the
// configuration. Once the reader reads again, the line "lines dropped" says how many
// lines of each class were dropped.
package eventlog
