package callerconn

import (
	"net/netip"
	"slices"
	"time"

	"bergamotpin.example/bergamotpin/memoryaccount"
)

// This file answers more connections than the process may hold: those on which nothing happens
// make room, of the address that has most first.

const (
	// ConnectionCost is the memory that a connection takes for its goroutine, its buffers, and an
	// ordinary request with its head and the first part of its body, in bytes.
	ConnectionCost = 20 << 10
	// endingConnections is how many connections may be open above the bound while those that
	// make room for them end.
	endingConnections = 32
	// roomInterval is the shortest time between two searches for connections that make room.
	// Each looks at all connections.
	roomInterval = 50 * time.Millisecond
	// unusedPatience, headPatience and bodyPatience are how long a connection that may be
	// needed for others may bring no request, the head of a request, or no byte of a body. Callers
	// send these at once. writePatience is how long its caller may take nothing of a response:
	// longer than servers wait for their own callers.
	unusedPatience = 500 * time.Millisecond
	headPatience   = time.Second
	bodyPatience   = 2 * time.Second
	writePatience  = 5 * time.Second
)

// Bounds limits what callers may use. The zero value bounds nothing.
type Bounds struct {
	// Connections and ConnectionsPerAddress are how many connections may be open, in all and
	// from one address. 0 means any number.
	Connections, ConnectionsPerAddress int
	// HeadBytes returns the size of the largest head that is read, in bytes. 0 means that it is
	// not known yet. If HeadBytes is nil, only the http.Server bounds heads.
	HeadBytes func() int
	// Account holds the memory of connections and heads. If it is nil, they are not counted.
	Account *memoryaccount.Account
}

// use is what a connection is used for at the moment.
type use uint8

const (
	// serving is a request that was read. Its connection makes no room.
	serving use = iota
	unused
	idle
	readingHead
	readingBody
	// writing is a response of which the caller takes nothing at the moment.
	writing
)

// patience is how long a connection may be in a use before it may make room for others.
func (u use) patience() time.Duration {
	switch u {
	case unused:
		return unusedPatience
	case readingHead:
		return headPatience
	case readingBody:
		return bodyPatience
	case writing:
		return writePatience
	}
	return 0
}

// occupant is what is known of a connection when room is needed.
type occupant struct {
	address netip.Addr
	use     use
	// still is how long nothing has happened on the connection.
	still time.Duration
}

// mayMakeRoom reports whether the connection may be ended so that others find room.
func (o occupant) mayMakeRoom() bool { return o.use != serving && o.still >= o.use.patience() }

// makeRoom returns the indexes of at most count occupants that make room for others: first those of
// the address that has most connections, and of these the ones on which nothing has happened for
// longest.
func makeRoom(occupants []occupant, count int) []int {
	byAddress := make(map[netip.Addr]int)
	var indexes []int
	for n, o := range occupants {
		byAddress[o.address]++
		if o.mayMakeRoom() {
			indexes = append(indexes, n)
		}
	}
	slices.SortFunc(indexes, func(a, b int) int {
		x, y := occupants[a], occupants[b]
		if d := byAddress[y.address] - byAddress[x.address]; d != 0 {
			return d
		}
		return int(y.still - x.still)
	})
	return indexes[:min(count, len(indexes))]
}

// Refusals counts what was refused to callers since the start.
type Refusals struct {
	// Total and Address count the connections that were closed at once because too many were
	// open, in all or from their address. MadeRoom counts those that were ended for others.
	Total, Address, MadeRoom int64
	// HeadTooLarge and HeadShort count the heads that were above the limit, and those for which
	// there was no memory.
	HeadTooLarge, HeadShort int64
}
