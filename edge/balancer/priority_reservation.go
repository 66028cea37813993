package balancer

// The load this answers: engines read prompts in the order in which they come,
// whatever their rank. When long prompts of the least urgent rank come faster
// than they can be read, short urgent ones are late behind them at every engine.
// So some engines are left to the urgent ones.

import (
	"cmp"
	"slices"

	"bergamotpin.example/bergamotpin/rendezvous"
)

const (
	// reservedShare is the part of a service's engines that is reserved, in equal
	// parts for all ranks but the least urgent, and leastEngines how many engines
	// it takes for that.
	reservedShare = 0.3
	leastEngines  = 6
	// reservedCost is the cost of an engine that is left to more urgent requests.
	// It is above that of reading any prompt again.
	reservedCost = 4.0
	// reserveOrder is the part ID by which all instances order the engines.
	reserveOrder = 0x5eed
)

// reservation says for each of a list of engines to which position it is left.
// The zero value reserves none.
type reservation []int

// barred reports whether an engine is left to requests more urgent than those of
// a position.
func (r reservation) barred(i, position int) bool { return len(r) > 0 && r[i] < position }

// own reports whether an engine is left to the requests of a position.
func (r reservation) own(i, position int) bool { return len(r) > 0 && r[i] == position }

// reserve returns to whom the engines of a service are left. All instances that
// know the same servers agree on it.
func reserve(r Request, keys []uint64) reservation {
	if !r.Service.IsEngine() || r.PriorityLevels < 2 || len(keys) < leastEngines {
		return nil
	}
	order := make([]int, len(keys))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(rendezvous.Weight(reserveOrder, keys[a]), rendezvous.Weight(reserveOrder, keys[b]))
	})
	each := reservedShare * float64(len(keys)) / float64(r.PriorityLevels-1)
	out := make(reservation, len(keys))
	for place, i := range order {
		out[i] = min(int(float64(place)/each), r.PriorityLevels-1)
	}
	return out
}
