package rendezvous

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestOnlyTheLeaversPoolsMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringN(1, 8, -1), 2, 20, rapid.ID).Draw(t, "names")
		p := Pool{Model: rapid.String().Draw(t, "model"), DataCentre: "a"}
		order := Order(p, names)
		if order[0] != First(p, names) {
			t.Fatal("First is not the first of Order")
		}
		gone := rapid.IntRange(0, len(names)-1).Draw(t, "gone")
		rest := slices.Delete(slices.Clone(names), gone, gone+1)
		want := order[0]
		if want == gone {
			want = order[1]
		}
		if got := rest[First(p, rest)]; got != names[want] {
			t.Fatalf("moved to %q, want %q", got, names[want])
		}
	})
}

func TestNoInstanceNoPlacement(t *testing.T) {
	if got := First(Pool{}, nil); got != -1 {
		t.Errorf("got %d", got)
	}
}
