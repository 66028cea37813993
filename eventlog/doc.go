// Package eventlog writes structured log lines without ever making their
// writer wait.
//
// Lines are JSON, one for each event. They go to a bounded buffer, from which
// one goroutine writes them out. A reader that stops reading fills the buffer;
// lines are then dropped and counted: first those of requests that went well,
// then those of requests that did not, and last those that say what the process
// believes. A line "lines dropped" tells how many of each.
package eventlog
