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
	// rounds is the number of sets of instance names. Each result is the mean
	// over all sets.
	rounds = 25
	// maxLoadFactor is the largest load of an instance in assignBounded, as a
	// multiple of the mean load.
	maxLoadFactor = 1.25
)

// assignmentMethod is a method of assigning pools to instances. For each pool,
// the function assign returns the index of the pool's instance in names.
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
		key := Mix(p.hash())
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

// measurement holds means over all rounds. loadFactor is the highest load of an
// instance divided by the mean load. movedOnLeave and movedOnJoin are the
// numbers of pools that move when one instance leaves and when one joins.
type measurement struct{ loadFactor, movedOnLeave, movedOnJoin float64 }

// measure assigns the pools to n instances with the given method, once for each
// round.
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

// TestCompareAssignmentMethods logs how evenly each method spreads the pools,
// and how many pools it moves. The test fails if rendezvous hashing moves
// clearly more pools than a leaving instance has on average.
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
				t.Errorf("%d instances: %.2f pools move when one instance leaves, want at most 1.5 times the pools per instance plus 0.5", size.instances, result.movedOnLeave)
			}
		}
	}
	t.Logf("instances, pools, method, highest load over mean load, pools moved on leave, pools moved on join, pools per instance:\n%s", &table)
}

// partialViewSize counts the peers that an instance would know in an XOR
// overlay, where it knows only a part of the membership. The overlay compares
// IDs bit by bit, from the highest bit. At each bit, the instance keeps
// regularEntries plus spareEntries peers whose bit differs from its own (far).
// It then goes on with the peers whose bit is the same (close). If close or far
// has at most regularEntries plus spareEntries members, the instance keeps all
// of both and stops.
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

// TestSizeOfPartialMembershipView logs the number of peers in the partial view
// of an XOR overlay and in the full view, which has all instances. The test
// fails if the partial view has more peers than the full view.
//
// With a partial view, an instance finds an unknown instance by asking peers,
// one after another. Each asked peer has an ID that is closer to the ID of the
// unknown instance: at least one more leading bit is equal. The test logs a
// table. Its last column is the largest number of peers that are asked: the
// binary logarithm of the number of instances, rounded up.
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
				t.Errorf("%d instances: the partial view has %.1f peers, want at most as many as the full view", n, entries)
			}
		}
	}
	t.Logf("instances, regular entries per bit, spare entries per bit, peers in the partial view, peers in the full view, most peers asked to find an unknown instance:\n%s", &table)
}
