package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Pool identifies a duty: scheduling for one model's backend servers in one
// data centre.
type Pool struct {
	Model      string
	DataCentre string
}

func (p Pool) hash() uint64 {
	return Mix(xxhash.Sum64String(p.Model)) ^ xxhash.Sum64String(p.DataCentre)
}

// Order returns the indexes of names in the pool's rendezvous order. The first
// index is that of the instance that has the duty.
func Order(p Pool, names []string) []int {
	key := p.hash()
	weights := make([]uint64, len(names))
	order := make([]int, len(names))
	for i, name := range names {
		weights[i] = nameWeight(key, name)
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(names[a], names[b]))
	})
	return order
}

// First returns the index of the instance that has the pool's duty, or -1 if
// names is empty.
func First(p Pool, names []string) int {
	key := p.hash()
	best := -1
	var bestWeight uint64
	for i, name := range names {
		w := nameWeight(key, name)
		if best < 0 || w > bestWeight || w == bestWeight && name < names[best] {
			best, bestWeight = i, w
		}
	}
	return best
}

// nameWeight returns the rendezvous weight of an instance's name for a pool's
// hash.
func nameWeight(key uint64, name string) uint64 {
	return Weight(key, xxhash.Sum64String(name))
}

// Mix is a finaliser for 64-bit hashes: each input bit affects all output bits.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Weight returns the rendezvous weight of a name for a key. Both parameters are
// hashes. The name with the highest weight comes first in the key's order.
func Weight(key, name uint64) uint64 { return Mix(key ^ Mix(name)) }
