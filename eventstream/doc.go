// Package eventstream reads streams of server-sent events (text/event-stream, as the HTML standard
// defines the format) and keeps what the reader of a stream has of it.
//
// A Reader splits a stream into blocks without changing a byte, so that a stream can be passed on as
// its server sent it. It takes all that the standard's grammar allows: a byte order mark, comments,
// fields of any name in any order, lines that end with a line feed, a carriage return or both,
// lines and events of any length, and bytes that arrive split anywhere.
//
// A Position says how far somebody has a stream, whose events may come from several servers
// one after the other. Servers number events with increasing ids, which need not be
// consecutive. An id that is no number says nothing about the order: after an event without a number, no server
// can be told where to go on.
package eventstream
