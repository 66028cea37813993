package streamorigin

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotpin.example/bergamotpin/objects"
)

// Origin is the service and the software version of the server that made the first event of a
// stream. An Origin without a version stands for versions that are not known.
type Origin struct{ Service, Version string }

// hash stands for an origin in messages between instances.
func (o Origin) hash() uint64 { return xxhash.Sum64String(o.Service + "\x00" + o.Version) }

// Listing holds the origins that streams may have. Era is the store's era in which it was
// written.
type Listing struct {
	Era     objects.Era
	Origins []Origin
}

// Begun is an attempt that brought the first event of a stream. Attempt is a hash of its ID.
type Begun struct {
	Attempt uint64
	Origin  Origin
}

func attemptHash(id string) uint64 { return xxhash.Sum64String(id) }

// ProcessAttempts holds the attempts that began in one process. After Expires no caller comes
// back for any of them.
type ProcessAttempts struct {
	Process string
	Expires time.Time
	Begun   []Begun
}

// Stored is all that the store holds. Revision is that of the listing, or 0 if there is none.
type Stored struct {
	Era      objects.Era
	Revision int64
	Listing  Listing
	// ListingUnreadable is set if another writer left bytes in place of the listing that are
	// none. Listing is then empty.
	ListingUnreadable bool
	Processes         []ProcessAttempts
}

// Store keeps listing and attempts. Its errors are those of package objects.
type Store interface {
	// ReadOrigins returns what is stored now.
	ReadOrigins(ctx context.Context) (Stored, error)
	// WriteListing replaces the listing. It returns objects.ErrConflict if the listing's
	// revision is not the given one. Revision 0 means that there must be none.
	WriteListing(ctx context.Context, l Listing, revision int64) error
	// WriteAttempts replaces the attempts of a process, DeleteAttempts removes them.
	WriteAttempts(ctx context.Context, a ProcessAttempts) error
	DeleteAttempts(ctx context.Context, process string) error
}
