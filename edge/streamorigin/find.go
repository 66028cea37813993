package streamorigin

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/objects"
)

// Source says how an origin is known.
type Source uint8

// The sources of an origin.
const (
	// Unknown means that the origin is not known.
	Unknown Source = iota
	// OwnMemory means that the stream began in this process.
	OwnMemory
	// StoredAttempt means that the store holds the attempt that began the stream.
	StoredAttempt
	// SingleVersion means that only one version of the service can have begun streams.
	SingleVersion
	sourceCount
)

var sourceNames = [sourceCount]string{"unknown", "memory", "stored", "single"}

// String returns the source's name in logs and metrics.
func (s Source) String() string { return sourceNames[s] }

// Found is the result of a search for a stream's origin.
type Found struct {
	Origin Origin
	Source Source
	// Age is how long ago the stream began. It is known only from OwnMemory.
	Age time.Duration
	// Versions is the number of versions of the service that the listing holds.
	Versions int
	// Err says why the store could not be asked, or is nil.
	Err error
}

// FoundCounts holds how many origins were searched, by the source of the result.
type FoundCounts [sourceCount]int64

// errUntrusted reports that the listing is older than the store's last return from a copy, or
// that another writer replaced it.
var errUntrusted = errors.New("the listing was replaced, or not written since the store came back from an older copy")

// Find returns the origin of a stream of the service that began with the given attempt of its
// caller. The attempt is "" if the caller named none.
func (l *Ledger) Find(ctx context.Context, service, attempt string) Found {
	found := l.find(ctx, service, attempt)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.found[found.Source]++
	return found
}

// Counts returns how many origins were searched so far.
func (l *Ledger) Counts() FoundCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.found
}

func (l *Ledger) find(ctx context.Context, service, attempt string) Found {
	if own, ok := l.findOwn(service, attempt); ok {
		return own
	}
	found := l.findStored(ctx, service, attempt)
	if found.Source != Unknown || found.Err != nil || attempt == "" {
		return found
	}
	// The process that began the stream may be waiting to write.
	select {
	case <-ctx.Done():
		return found
	case <-time.After(min(l.options.WriteInterval()+writeMargin, maxWriteWait)):
	}
	return l.findStored(ctx, service, attempt)
}

func (l *Ledger) findStored(ctx context.Context, service, attempt string) Found {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	stored, err := l.reader.read(ctx)
	if err != nil {
		return Found{Err: err}
	}
	l.noteGarbage(stored, time.Now())
	return stored.find(service, attempt)
}

func (l *Ledger) findOwn(service, attempt string) (Found, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	own, ok := l.begun[attemptHash(attempt)]
	if attempt == "" || !ok || own.origin.Service != service {
		return Found{}, false
	}
	return Found{Origin: own.origin, Source: OwnMemory, Age: time.Since(own.at)}, true
}

// find looks an origin up in what is stored.
func (s *Stored) find(service, attempt string) Found {
	origins := s.Listing.of(service)
	found := Found{Versions: len(origins)}
	if o, ok := s.attempt(service, attempt); ok {
		found.Origin, found.Source = o, StoredAttempt
		return found
	}
	switch {
	case s.listingMayLack():
		found.Err = errUntrusted
	case len(origins) == 1 && origins[0].Version != "":
		found.Origin, found.Source = origins[0], SingleVersion
	}
	return found
}

func (s *Stored) attempt(service, attempt string) (Origin, bool) {
	if attempt == "" {
		return Origin{}, false
	}
	hash := attemptHash(attempt)
	for _, process := range s.Processes {
		for _, b := range process.Begun {
			if b.Attempt == hash && b.Origin.Service == service {
				return b.Origin, true
			}
		}
	}
	return Origin{}, false
}

// listingMayLack reports whether the listing may lack what was listed, because the store came
// back from an older copy since, or because another writer replaced the listing.
func (s *Stored) listingMayLack() bool {
	return s.ListingUnreadable || s.Listing.Era != objects.EraUnstated && s.Era != objects.EraUnstated && s.Listing.Era < s.Era
}

// of returns the listed origins of a service.
func (l Listing) of(service string) []Origin {
	var origins []Origin
	for _, o := range l.Origins {
		if o.Service == service {
			origins = append(origins, o)
		}
	}
	return origins
}
