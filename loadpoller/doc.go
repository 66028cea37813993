// Package loadpoller polls backend servers for their load reports and cache
// events.
//
// Both lag and may be missing. They are hints: the scheduler's own counts and
// what entry instances see first-hand go before them. A server that does not
// answer is asked again at the next interval; nothing is concluded from it.
package loadpoller
