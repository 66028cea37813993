package proxy

import "sync"

// InFlight counts the requests of this instance at each backend server. A
// request is counted before the server's drain is checked for it, so that a
// count of zero after the drain came into force stays zero. It is safe for
// concurrent use.
type InFlight struct {
	mu       sync.Mutex
	byServer map[string]int
}

// NewInFlight returns counts of zero.
func NewInFlight() *InFlight { return &InFlight{byServer: make(map[string]int)} }

// Count returns the requests that are at a server or may still be sent to it.
func (f *InFlight) Count(server string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byServer[server]
}

func (f *InFlight) enter(server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byServer[server]++
}

func (f *InFlight) leave(server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byServer[server]--
	if f.byServer[server] == 0 {
		delete(f.byServer, server)
	}
}
