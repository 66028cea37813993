// Package loadpoller polls backend servers for their load reports and cache
// events.
//
// Load reports and cache events arrive late and may be missing. They are only hints: the
// scheduler's own counts and what entry instances observe directly take precedence. A
// server that does not respond is polled again at the next interval, and nothing is
// concluded from the missing response.
package loadpoller
