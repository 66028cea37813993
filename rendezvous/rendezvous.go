package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Pool names the duty to schedule a model's backend servers in a data centre.
type Pool struct {
	Model      string
	DataCentre string
}

func (p Pool) hash() uint64 {
	return mix(xxhash.Sum64String(p.Model)) ^ xxhash.Sum64String(p.DataCentre)
}

// Order returns the indexes of names in the order in which they are asked for
// the pool, the pool's own instance first.
func Order(p Pool, names []string) []int {
	key := p.hash()
	weights := make([]uint64, len(names))
	order := make([]int, len(names))
	for i, name := range names {
		weights[i] = weight(key, name)
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(names[a], names[b]))
	})
	return order
}

// First returns the index of the pool's own instance, or -1 if names is empty.
func First(p Pool, names []string) int {
	key := p.hash()
	best := -1
	var most uint64
	for i, name := range names {
		w := weight(key, name)
		if best < 0 || w > most || w == most && name < names[best] {
			best, most = i, w
		}
	}
	return best
}

func weight(key uint64, name string) uint64 {
	return Weight(key, xxhash.Sum64String(name))
}

// mix spreads each input bit over the whole word.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Weight is the weight of a name for a key, by rendezvous hashing: of several
// names, the one with the highest weight is the key's own.
func Weight(key, name uint64) uint64 { return mix(key ^ mix(name)) }
