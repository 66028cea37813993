package objects

import (
	"cmp"
	"fmt"
	"strconv"
)

// Era numbers the times that a store has come back from an older copy. A store's
// revisions only have an order within one era.
type Era int64

const (
	// EraUnstated is the era of what came without one: from an older platform, or from
	// an instance of the version before. It means the era that the receiver knows.
	EraUnstated Era = 0
	// EraBeforeFirst is the era of what was known before any era was stated.
	EraBeforeFirst Era = 1
	// firstNumberedEra is the Era of the store's number 0.
	firstNumberedEra Era = 2
)

// NumberedEra returns the era that a store states as a number.
func NumberedEra(number uint32) Era { return firstNumberedEra + Era(number) }

// String returns the store's number of the era, for logs.
func (e Era) String() string {
	if e < firstNumberedEra {
		return "unstated"
	}
	return strconv.FormatInt(int64(e-firstNumberedEra), 10)
}

// Version orders what a store wrote: by era, and within an era by revision.
type Version struct {
	Era      Era
	Revision int64
}

// Compare returns -1, 0 or 1 if v is older than, the same as or newer than other.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.Revision, other.Revision))
}

// After reports whether v is newer than other.
func (v Version) After(other Version) bool { return v.Compare(other) > 0 }

// String returns the version as "ERA/REVISION".
func (v Version) String() string { return fmt.Sprintf("%v/%d", v.Era, v.Revision) }
