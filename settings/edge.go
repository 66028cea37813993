package settings

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"bergamotpin.example/bergamotpin/api"
)

// Edge holds the product's own options of the edge command. What the platform states is in
// the platform's settings file instead. Each field is a table of the options file. A missing
// table leaves its part at the defaults.
type Edge struct {
	// Callers bounds what callers may use of an instance.
	Callers EdgeCallers `toml:"callers"`
	// SecondAttempts limits the extra attempts that are made for slow answers.
	SecondAttempts EdgeSecondAttempts `toml:"second_attempts"`
}

// EdgeCallers bounds what callers may use of an instance.
type EdgeCallers struct {
	// MaxConnections is how many connections callers may have open, in all. 0 derives the number
	// from the descriptors and the memory of the process.
	MaxConnections int `toml:"max_connections"`
	// MaxConnectionsPerAddress is how many connections may be open from one address. 0 means no
	// bound of its own: the platform may forward all callers from one address.
	MaxConnectionsPerAddress int `toml:"max_connections_per_address"`
	// MemoryWait is how long a body waits for memory before one of those that wait is refused.
	MemoryWait api.Duration `toml:"memory_wait"`
}

// defaultMemoryWait is the default of EdgeCallers.MemoryWait. Bodies of others are sent on within
// it, and a caller that is refused afterwards still has time to return.
const defaultMemoryWait = 250 * time.Millisecond

// maxMemoryWait bounds EdgeCallers.MemoryWait: callers wait no longer for a server either.
const maxMemoryWait = 10 * time.Second

// EdgeSecondAttempts limits the extra attempts that are made for slow answers. Each limit is a
// share of the requests that may be repeated, from 0 to MaxSecondAttemptShare. For a request
// the limit of its route holds, or else that of its service, or else Share.
type EdgeSecondAttempts struct {
	// Share is the limit for all routes and services that are not listed.
	Share    float64     `toml:"share"`
	Services []EdgeShare `toml:"service"`
	Routes   []EdgeShare `toml:"route"`
}

// EdgeShare is the limit of one route or service.
type EdgeShare struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
}

// MaxSecondAttemptShare is the largest limit of second attempts. A larger share would repeat
// ordinary answers rather than the slowest, and leave too little for requests that failed.
const MaxSecondAttemptShare = 0.2

// DefaultEdge returns the options that hold without an options file.
func DefaultEdge() Edge {
	return Edge{Callers: EdgeCallers{MemoryWait: api.Duration(defaultMemoryWait)}}
}

// LoadEdge reads and checks an options file of the edge command. It returns an *Error if the
// file's content is invalid.
func LoadEdge(path string) (Edge, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Edge{}, errors.Wrap(err, "options")
	}
	return ParseEdge(path, raw)
}

// ParseEdge parses and checks the content of an options file. Every error is an *Error that
// names the given file.
func ParseEdge(file string, raw []byte) (Edge, error) {
	options := DefaultEdge()
	dec := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := dec.Decode(&options); err != nil {
		return Edge{}, decodeError(file, err)
	}
	if invalid := checkEdge(options); invalid != nil {
		return Edge{}, &Error{File: file, Line: lineOf(raw, invalid.key), Key: invalid.key, Cause: invalid.cause}
	}
	return options, nil
}

// checkEdge returns the first problem that it finds, or nil if there is none.
func checkEdge(o Edge) *problem {
	for _, checkPart := range []func(Edge) *problem{checkEdgeCallers, checkEdgeSecondAttempts} {
		if p := checkPart(o); p != nil {
			return p
		}
	}
	return nil
}

func checkEdgeCallers(o Edge) *problem {
	c := o.Callers
	switch {
	case c.MaxConnections < 0:
		return &problem{"callers.max_connections", "must be at least 0"}
	case c.MaxConnectionsPerAddress < 0:
		return &problem{"callers.max_connections_per_address", "must be at least 0"}
	case c.MemoryWait <= 0 || c.MemoryWait > api.Duration(maxMemoryWait):
		return &problem{"callers.memory_wait", "must be above 0, and at most 10s"}
	}
	return nil
}

func checkEdgeSecondAttempts(o Edge) *problem {
	s := o.SecondAttempts
	if p := checkShare("second_attempts.share", s.Share); p != nil {
		return p
	}
	if p := checkShares("second_attempts.service", s.Services); p != nil {
		return p
	}
	return checkShares("second_attempts.route", s.Routes)
}

func checkShares(table string, shares []EdgeShare) *problem {
	named := make(map[string]bool, len(shares))
	for i, s := range shares {
		entry := arrayEntry(table, i)
		switch {
		case s.Name == "":
			return &problem{joinKey(entry, "name"), "missing"}
		case named[s.Name]:
			return &problem{joinKey(entry, "name"), "the same name as that of an entry before"}
		}
		named[s.Name] = true
		if p := checkShare(joinKey(entry, "share"), s.Share); p != nil {
			return p
		}
	}
	return nil
}

// checkShare rejects a share out of its bounds, and one that is no number.
func checkShare(key string, share float64) *problem {
	if share >= 0 && share <= MaxSecondAttemptShare {
		return nil
	}
	return &problem{key, fmt.Sprintf("must be from 0 to %v", MaxSecondAttemptShare)}
}
