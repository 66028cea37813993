package balancer

// A large deployment has dozens of instances and dozens of servers. If each instance spread its
// requests over all servers, it would use each of them less than once in the time for which a
// server keeps an idle connection open. Then almost every request would need a new connection,
// which delays the request and holds a slot of the server. So a server to which this instance
// has an idle connection is examined, and is a little cheaper than others. The instance thus
// stays with the few servers that it used a moment ago, as long as these are neither busy nor
// without the prompt's prefix. Servers that come or go change nothing for the other pairs.
//
// A Balancer opens no connections. It infers the idle ones from the ends of attempts.

import (
	"slices"
	"time"
)

const (
	// newConnectionCost is the cost of a server to which there is no idle connection.
	newConnectionCost = 0.05
	// maxWarmExamined bounds the servers that are examined because of an idle connection.
	maxWarmExamined = 12
	// maxIdleKnown bounds the idle connections that are remembered for each server.
	maxIdleKnown = 16
)

// addIdleConnection records that a connection to the server became idle and is kept until
// the given time.
func (s *server) addIdleConnection(until time.Time) {
	s.idleUntil = append(s.idleUntil, until)
	if len(s.idleUntil) > maxIdleKnown {
		s.idleUntil = s.idleUntil[1:]
	}
}

// takeIdleConnection records that a request takes the connection that became idle last.
func (s *server) takeIdleConnection(now time.Time) {
	if s.hasIdleConnection(now) {
		s.idleUntil = s.idleUntil[:len(s.idleUntil)-1]
	}
}

// hasIdleConnection reports whether a request would find an idle connection to the server.
func (s *server) hasIdleConnection(now time.Time) bool {
	s.idleUntil = slices.DeleteFunc(s.idleUntil, func(until time.Time) bool { return !until.After(now) })
	return len(s.idleUntil) > 0
}

// warmServers returns which of the servers are examined because of idle connections, or nil
// if there are few instances: these use all servers often.
func (b *Balancer) warmServers(keys []uint64, now time.Time) []bool {
	if b.instances <= fullScanInstances {
		return nil
	}
	warm := make([]bool, len(keys))
	found := 0
	first := b.random.IntN(len(keys))
	for n := range keys {
		i := (first + n) % len(keys)
		if s, ok := b.servers[keys[i]]; ok && found < maxWarmExamined && s.hasIdleConnection(now) {
			warm[i] = true
			found++
		}
	}
	return warm
}

// connectionCost returns the cost of the connection that the attempt needs.
func (b *Balancer) connectionCost(a *Attempt, now time.Time) float64 {
	if b.instances <= fullScanInstances || b.serverState(a.Key).hasIdleConnection(now) {
		return 0
	}
	return newConnectionCost
}
