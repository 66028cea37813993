package streamorigin

import (
	"time"

	"bergamotpin.example/bergamotpin/objects"
)

const (
	// beginWithin is how long after its last server was seen streams may begin at a version.
	// It is far below retireAfter, so that views of other instances may differ.
	beginWithin = 30 * time.Second
	// retireAfter is how long after its last server was seen a version stays listed. It is
	// longer than any caller waits for a stream.
	retireAfter = 2 * time.Minute
	// forgetAfter is how long this instance remembers a version. It is longer than
	// retireAfter, so that attempts are written for as long as the listing may hold it.
	forgetAfter = 3 * time.Minute
	// learnWithin is how lately a server of a version must have been seen for the word of a
	// peer to count. Without this bound, instances would remind each other of old versions.
	learnWithin = 2 * time.Second
)

// version is what this instance knows of one origin.
type version struct {
	// listed is set if the listing is known to hold the origin.
	listed bool
	// missing is set if a listing that was read lacked the origin. The word of peers, who
	// may not have read that listing, doesn't count then.
	missing bool
	// since is when this instance learnt of the origin, seen when it last knew a server.
	since, seen time.Time
}

// versions are the origins that this instance knows.
type versions struct {
	known map[Origin]*version
	// applied is the newest version of the listing that was taken in.
	applied objects.Version
}

// see records that there is a server of the origin.
func (v *versions) see(o Origin, now time.Time) *version {
	known := v.known[o]
	if known == nil {
		known = &version{since: now}
		v.known[o] = known
	}
	known.seen = now
	return known
}

// mayBegin reports whether a stream may begin at the origin.
func (v *versions) mayBegin(o Origin, now time.Time) bool {
	known := v.known[o]
	return known != nil && known.listed && now.Sub(known.seen) < beginWithin
}

// mixed reports whether streams of the service may have begun at several versions.
func (v *versions) mixed(service string) bool {
	count := 0
	for o := range v.known {
		if o.Service == service {
			count++
		}
	}
	return count > 1
}

// unlisted returns the origins with servers that the listing is not known to hold, and since
// when the longest waiting one is known.
func (v *versions) unlisted(now time.Time) (origins []Origin, since time.Time) {
	for o, known := range v.known {
		if known.listed || now.Sub(known.seen) >= beginWithin || o.Version == "" {
			continue
		}
		if len(origins) == 0 || known.since.Before(since) {
			since = known.since
		}
		origins = append(origins, o)
	}
	return origins, since
}

// named returns all origins that this instance knows, but for versions that are not known.
func (v *versions) named() []Origin {
	var origins []Origin
	for o := range v.known {
		if o.Version != "" {
			origins = append(origins, o)
		}
	}
	return origins
}

// retired returns the origins whose servers were seen too long ago to stay listed.
func (v *versions) retired(now time.Time) []Origin {
	var origins []Origin
	for o, known := range v.known {
		if known.listed && now.Sub(known.seen) >= retireAfter {
			origins = append(origins, o)
		}
	}
	return origins
}

// apply takes in a listing. It does nothing if a newer one was taken in before.
func (v *versions) apply(s Stored, now time.Time) {
	read := objects.Version{Era: s.Era, Revision: s.Revision}
	if v.applied.After(read) {
		return
	}
	v.applied = read
	for _, known := range v.known {
		known.missing = known.listed || known.missing
		known.listed = false
	}
	for _, o := range s.Listing.Origins {
		known := v.known[o]
		if known == nil {
			known = &version{since: now, seen: now}
			v.known[o] = known
		}
		known.listed, known.missing = true, false
	}
}

// learn takes in what a peer knows to be listed. It reports whether that was news.
func (v *versions) learn(hashes []uint64, now time.Time) bool {
	news := false
	for o, known := range v.known {
		if known.listed || known.missing || now.Sub(known.seen) >= learnWithin {
			continue
		}
		for _, h := range hashes {
			if h == o.hash() {
				known.listed, news = true, true
			}
		}
	}
	return news
}

// forget drops what is no longer listed by anybody.
func (v *versions) forget(now time.Time) {
	for o, known := range v.known {
		if now.Sub(known.seen) >= forgetAfter {
			delete(v.known, o)
		}
	}
}
