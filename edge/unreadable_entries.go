package edge

import (
	"log/slog"
	"sync"
	"unicode/utf8"

	"bergamotpin.example/bergamotpin/metrics"
)

const (
	// maxLoggedEntries bounds the entries that are logged as unreadable, each once. Further ones
	// are only counted.
	maxLoggedEntries = 256
	// maxLoggedText bounds a name or an error from outside in a log line, in bytes.
	maxLoggedText = 200
)

// unreadableEntries counts and logs what the store holds and this instance can't read, such as
// entries of another writer. It is safe for concurrent use.
type unreadableEntries struct {
	log *slog.Logger

	mu     sync.Mutex
	seen   int64
	logged map[string]bool
}

func newUnreadableEntries(log *slog.Logger) *unreadableEntries {
	return &unreadableEntries{log: log, logged: make(map[string]bool)}
}

// add takes in one reading of an entry that failed. kind is the entry's kind or path.
func (u *unreadableEntries) add(kind, name string, revision int64, err error) {
	name = shorten(name)
	key := kind + "\x00" + name
	u.mu.Lock()
	u.seen++
	isNew := !u.logged[key] && len(u.logged) < maxLoggedEntries
	if isNew {
		u.logged[key] = true
	}
	u.mu.Unlock()
	if isNew {
		u.log.Warn("entry can't be read", "kind", kind, "name", name, "revision", revision, "detail", shorten(err.Error()))
	}
}

func (u *unreadableEntries) readings() []metrics.Reading {
	u.mu.Lock()
	defer u.mu.Unlock()
	return []metrics.Reading{metrics.CounterReading("entries_unreadable", "", "", u.seen)}
}

// shorten cuts a text from outside to what a log line may hold of it.
func shorten(text string) string {
	if len(text) <= maxLoggedText {
		return text
	}
	end := maxLoggedText
	for end > 0 && !utf8.RuneStart(text[end]) {
		end--
	}
	return text[:end] + "..."
}
