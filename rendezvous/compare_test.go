package rendezvous

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
)

const (
	// models is the number of pools in each data centre.
	models = 26
	// rounds is the number of sets of instance names that each result is
	// averaged over.
	rounds = 25
	// maxLoadFactor bounds the load of an instance in assignBounded, as a
	// multiple of the mean load.
	maxLoadFactor = 1.25
)

// assignmentMethod is a method of assigning pools to instances. The function
// assign returns an index into names for each pool.
type assignmentMethod struct {
	name   string
	assign func(pools []Pool, names []string) []int
}

var assignmentMethods = []assignmentMethod{
	{"rendezvous", assignRendezvous},
	{"bounded 1.25", assignBounded},
	{"xor-closest", assignXOR},
}

func assignRendezvous(pools []Pool, names []string) []int {
	out := make([]int, len(pools))
	for i, p := range pools {
		out[i] = First(p, names)
	}
	return out
}

// assignBounded assigns the pools in the order of their hashes, each to the
// first instance in its rendezvous order that has capacity left.
func assignBounded(pools []Pool, names []string) []int {
	capacity := int(maxLoadFactor*float64(len(pools))/float64(len(names))) + 1
	poolOrder := make([]int, len(pools))
	for i := range poolOrder {
		poolOrder[i] = i
	}
	slices.SortFunc(poolOrder, func(a, b int) int {
		if pools[a].hash() < pools[b].hash() {
			return -1
		}
		return 1
	})
	load := make([]int, len(names))
	out := make([]int, len(pools))
	for _, p := range poolOrder {
		for _, n := range Order(pools[p], names) {
			if load[n] < capacity {
				load[n]++
				out[p] = n
				break
			}
		}
	}
	return out
}

// assignXOR assigns each pool to the instance whose hashed name has the
// smallest XOR distance from the pool's hash.
func assignXOR(pools []Pool, names []string) []int {
	ids := make([]uint64, len(names))
	for i, name := range names {
		ids[i] = xxhash.Sum64String(name)
	}
	out := make([]int, len(pools))
	for i, p := range pools {
		key := mix(p.hash())
		for n := range ids {
			if ids[n]^key < ids[out[i]]^key {
				out[i] = n
			}
		}
	}
	return out
}

func makePools(dataCentres int) []Pool {
	var out []Pool
	for dc := range dataCentres {
		for m := range models {
			out = append(out, Pool{Model: fmt.Sprintf("model-%d", m), DataCentre: fmt.Sprintf("dc-%d", dc)})
		}
	}
	return out
}

func makeNames(round, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("instance-%d-%d", round, i)
	}
	return out
}

// measurement holds means over all rounds: the highest load of an instance
// divided by the mean load, and the numbers of pools that move when one
// instance leaves and when one joins.
type measurement struct{ loadFactor, movedOnLeave, movedOnJoin float64 }

func measure(m assignmentMethod, pools []Pool, n int) measurement {
	var sum measurement
	for round := range rounds {
		names := makeNames(round, n+1)
		assigned := m.assign(pools, names[:n])
		load := make([]int, n)
		for _, i := range assigned {
			load[i]++
		}
		sum.loadFactor += float64(slices.Max(load)) * float64(n) / float64(len(pools))
		sum.movedOnLeave += float64(countMoved(assigned, m.assign(pools, names[:n-1])))
		sum.movedOnJoin += float64(countMoved(assigned, m.assign(pools, names)))
	}
	return measurement{sum.loadFactor / rounds, sum.movedOnLeave / rounds, sum.movedOnJoin / rounds}
}

// countMoved counts the pools that are assigned to different instances.
func countMoved(before, after []int) int {
	n := 0
	for i := range before {
		if before[i] != after[i] {
			n++
		}
	}
	return n
}

// TestCompareAssignmentMethods logs the balance of each method and the pools
// that it moves. It fails if rendezvous hashing moves clearly more pools than
// the leaving instance had.
func TestCompareAssignmentMethods(t *testing.T) {
	sizes := []struct{ instances, dataCentres int }{{7, 4}, {36, 1}, {36, 11}, {400, 11}}
	var table strings.Builder
	for _, size := range sizes {
		pools := makePools(size.dataCentres)
		for _, m := range assignmentMethods {
			result := measure(m, pools, size.instances)
			fmt.Fprintf(&table, "| %d | %d | %s | %.2f | %.2f | %.2f | %.2f |\n",
				size.instances, len(pools), m.name, result.loadFactor, result.movedOnLeave, result.movedOnJoin, float64(len(pools))/float64(size.instances))
			if m.name == "rendezvous" && result.movedOnLeave > 1.5*float64(len(pools))/float64(size.instances)+0.5 {
				t.Errorf("%d instances: %.2f pools move when one leaves, want at most 1.5 times the pools per instance plus 0.5", size.instances, result.movedOnLeave)
			}
		}
	}
	t.Logf("instances, pools, method, highest load over mean load, pools moved on leave, pools moved on join, pools per instance:\n%s", &table)
}

// partialViewSize counts the peers that an instance keeps in an XOR overlay,
// where it knows only a part of the membership. The overlay halves the set of
// instances at each bit of their IDs: it keeps a fixed number of peers in the
// half that differs from the instance's own ID, which is regularEntries plus
// spareEntries, and halves the other half again. As soon as one of the halves
// holds no more than this number, it keeps all peers that are left.
func partialViewSize(ids []uint64, self uint64, regularEntries, spareEntries int) int {
	entries, region := 0, ids
	for bit := 63; bit >= 0; bit-- {
		var close, far []uint64
		for _, id := range region {
			if (id^self)>>bit&1 == 0 {
				close = append(close, id)
			} else {
				far = append(far, id)
			}
		}
		if min(len(close), len(far)) <= regularEntries+spareEntries {
			break
		}
		entries += regularEntries + spareEntries
		region = close
	}
	return entries + len(region) - 1
}

// TestSizeOfPartialMembershipView logs how many peers an instance would keep if
// it knew only a part of the membership, as in an XOR overlay, and how many it
// keeps now that it knows all. It fails if more peers were counted than there
// are.
func TestSizeOfPartialMembershipView(t *testing.T) {
	var table strings.Builder
	for _, n := range []int{7, 36, 400} {
		for _, regularEntries := range []int{2, 8} {
			spareEntries := regularEntries / 2
			sum := 0
			for round := range rounds {
				names := makeNames(round, n)
				ids := make([]uint64, n)
				for i, name := range names {
					ids[i] = xxhash.Sum64String(name)
				}
				sum += partialViewSize(ids, ids[0], regularEntries, spareEntries)
			}
			entries := float64(sum) / rounds
			fmt.Fprintf(&table, "| %d | %d | %d | %.1f | %d | %d |\n", n, regularEntries, spareEntries, entries, n-1, bits.Len(uint(n-1)))
			if entries > float64(n-1) {
				t.Errorf("%d instances: the partial view was counted with %.1f entries, want at most those of the full view", n, entries)
			}
		}
	}
	t.Logf("instances, regular entries per half, spare entries per half, entries of the partial view, entries of the full view, most steps of a look-up:\n%s", &table)
}
