package balancer

// Engines prefill prompts in arrival order, whatever their priority. If long
// prompts of the least urgent priority arrive faster than the engines can
// process them, short urgent prompts have to wait behind them at every engine
// and are late. So some engines are reserved for the more urgent priorities.

import (
	"cmp"
	"slices"

	"bergamotpin.example/bergamotpin/rendezvous"
)

const (
	// reservedShare is the fraction of a service's engines that is reserved.
	// The reserved engines are divided equally among all priorities but the
	// least urgent. If the service has fewer engines than
	// minReservationEngines, no engine is reserved.
	reservedShare         = 0.3
	minReservationEngines = 6
	// reservedCost is the cost of an engine that is reserved for more urgent
	// requests. It is above the cost of any cache miss.
	reservedCost = 4.0
	// reservationSeed is the rendezvous key by which each instance orders the
	// engines. All instances must use the same value.
	reservationSeed = 0x5eed
)

// reservation holds, for each engine of a list, the priority index for which
// the engine is reserved. An engine that is open to every request has the
// index of the least urgent priority. A nil reservation reserves no engine.
type reservation []int

// excludes reports whether engine i is reserved for requests that are more
// urgent than those with the given priority index.
func (r reservation) excludes(i, priority int) bool { return len(r) > 0 && r[i] < priority }

// reservedFor reports whether engine i is reserved for the requests with the
// given priority index.
func (r reservation) reservedFor(i, priority int) bool { return len(r) > 0 && r[i] == priority }

// reserveEngines assigns the engines of a service to priorities. If two
// instances know the same servers, they compute the same assignment.
func reserveEngines(r Request, keys []uint64) reservation {
	if !r.Service.IsEngine() || r.PriorityLevels < 2 || len(keys) < minReservationEngines {
		return nil
	}
	order := make([]int, len(keys))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(rendezvous.Weight(reservationSeed, keys[a]), rendezvous.Weight(reservationSeed, keys[b]))
	})
	reservedPerLevel := reservedShare * float64(len(keys)) / float64(r.PriorityLevels-1)
	out := make(reservation, len(keys))
	for position, i := range order {
		out[i] = min(int(float64(position)/reservedPerLevel), r.PriorityLevels-1)
	}
	return out
}
