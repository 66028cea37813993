package rendezvous

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestOnlyPoolsOfLeavingInstanceMove removes an instance. If it was the first
// in a pool's order, the pool must move to the second. Otherwise the pool must
// not move.
func TestOnlyPoolsOfLeavingInstanceMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringN(1, 8, -1), 2, 20, rapid.ID).Draw(t, "names")
		p := Pool{Model: rapid.String().Draw(t, "model"), DataCentre: "a"}
		order := Order(p, names)
		if order[0] != First(p, names) {
			t.Fatal("First returned an instance other than the first of Order, want the same instance")
		}
		leaving := rapid.IntRange(0, len(names)-1).Draw(t, "gone")
		remaining := slices.Delete(slices.Clone(names), leaving, leaving+1)
		want := order[0]
		if want == leaving {
			want = order[1]
		}
		if got := remaining[First(p, remaining)]; got != names[want] {
			t.Fatalf("after an instance left, the pool is at %q, want %q", got, names[want])
		}
	})
}

func TestFirstWithoutNames(t *testing.T) {
	if got := First(Pool{}, nil); got != -1 {
		t.Errorf("First without names returned %d, want -1", got)
	}
}
