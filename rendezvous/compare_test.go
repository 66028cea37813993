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
	models = 26
	rounds = 25
	// slack is the bounded variant's most load over the mean.
	slack = 1.25
)

// method gives each pool an instance.
type method struct {
	name  string
	place func(pools []Pool, names []string) []int
}

var methods = []method{
	{"rendezvous", placeRendezvous},
	{"bounded 1.25", placeBounded},
	{"xor-closest", placeXor},
}

func placeRendezvous(pools []Pool, names []string) []int {
	out := make([]int, len(pools))
	for i, p := range pools {
		out[i] = First(p, names)
	}
	return out
}

// placeBounded takes the first instance in order that has room, pool by pool
// in the order of their hashes.
func placeBounded(pools []Pool, names []string) []int {
	room := int(slack*float64(len(pools))/float64(len(names))) + 1
	turn := make([]int, len(pools))
	for i := range turn {
		turn[i] = i
	}
	slices.SortFunc(turn, func(a, b int) int {
		if pools[a].hash() < pools[b].hash() {
			return -1
		}
		return 1
	})
	load := make([]int, len(names))
	out := make([]int, len(pools))
	for _, p := range turn {
		for _, n := range Order(pools[p], names) {
			if load[n] < room {
				load[n]++
				out[p] = n
				break
			}
		}
	}
	return out
}

func placeXor(pools []Pool, names []string) []int {
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

func poolsOf(dataCentres int) []Pool {
	var out []Pool
	for dc := range dataCentres {
		for m := range models {
			out = append(out, Pool{Model: fmt.Sprintf("model-%d", m), DataCentre: fmt.Sprintf("dc-%d", dc)})
		}
	}
	return out
}

func namesOf(round, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("instance-%d-%d", round, i)
	}
	return out
}

// figures are means over the rounds.
type figures struct{ share, left, joined float64 }

func measure(m method, pools []Pool, n int) figures {
	var f figures
	for round := range rounds {
		names := namesOf(round, n+1)
		all := m.place(pools, names[:n])
		load := make([]int, n)
		for _, i := range all {
			load[i]++
		}
		f.share += float64(slices.Max(load)) * float64(n) / float64(len(pools))
		f.left += float64(moved(all, m.place(pools, names[:n-1])))
		f.joined += float64(moved(all, m.place(pools, names)))
	}
	return figures{f.share / rounds, f.left / rounds, f.joined / rounds}
}

func moved(a, b []int) int {
	n := 0
	for i := range a {
		if a[i] != b[i] {
			n++
		}
	}
	return n
}

func TestComparePlacements(t *testing.T) {
	sizes := []struct{ instances, dataCentres int }{{7, 4}, {36, 1}, {36, 11}, {400, 11}}
	var table strings.Builder
	for _, size := range sizes {
		pools := poolsOf(size.dataCentres)
		for _, m := range methods {
			f := measure(m, pools, size.instances)
			fmt.Fprintf(&table, "| %d | %d | %s | %.2f | %.2f | %.2f | %.2f |\n",
				size.instances, len(pools), m.name, f.share, f.left, f.joined, float64(len(pools))/float64(size.instances))
			if m.name == "rendezvous" && f.left > 1.5*float64(len(pools))/float64(size.instances)+0.5 {
				t.Errorf("%d instances: %.2f pools move when one leaves", size.instances, f.left)
			}
		}
	}
	t.Logf("instances, pools, method, share of the most loaded over the mean, moved at a leave, at a join, pools an instance:\n%s", &table)
}

// partialEntries counts the peers that the xor overlay keeps: all in the close
// region, k+h in each far one. The close region is halved while more than k+h
// are in both halves.
func partialEntries(ids []uint64, self uint64, k, h int) int {
	entries, near := 0, ids
	for bit := 63; bit >= 0; bit-- {
		var close, far []uint64
		for _, id := range near {
			if (id^self)>>bit&1 == 0 {
				close = append(close, id)
			} else {
				far = append(far, id)
			}
		}
		if min(len(close), len(far)) <= k+h {
			break
		}
		entries += k + h
		near = close
	}
	return entries + len(near) - 1
}

func TestPartialViewAgainstFull(t *testing.T) {
	var table strings.Builder
	for _, n := range []int{7, 36, 400} {
		for _, k := range []int{2, 8} {
			h := k / 2
			sum := 0
			for round := range rounds {
				names := namesOf(round, n)
				ids := make([]uint64, n)
				for i, name := range names {
					ids[i] = xxhash.Sum64String(name)
				}
				sum += partialEntries(ids, ids[0], k, h)
			}
			entries := float64(sum) / rounds
			fmt.Fprintf(&table, "| %d | %d | %d | %.1f | %d | %d |\n", n, k, h, entries, n-1, bits.Len(uint(n-1)))
			if entries > float64(n-1) {
				t.Errorf("%d instances: a partial view of %.1f entries", n, entries)
			}
		}
	}
	t.Logf("instances, k, h, entries of the partial view, of the full one, steps of a look-up at most:\n%s", &table)
}
