package objects

import (
	"slices"
	"testing"
)

// TestVersionsAreOrderedByEraThenRevision guards against a higher revision of an older
// era that counts as newer.
func TestVersionsAreOrderedByEraThenRevision(t *testing.T) {
	want := []Version{
		{EraUnstated, 7}, {EraBeforeFirst, 100}, {NumberedEra(0), 90}, {NumberedEra(1), 60}, {NumberedEra(1), 61}, {NumberedEra(2), 5},
	}
	got := slices.Clone(want)
	slices.Reverse(got)
	slices.SortFunc(got, Version.Compare)
	if !slices.Equal(got, want) {
		t.Errorf("got the order %v, want %v", got, want)
	}
	if want[0].After(want[1]) || !want[1].After(want[0]) || want[0].After(want[0]) {
		t.Error("After does not follow the order")
	}
}
