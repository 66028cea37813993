package proxy

import "sync"

// InFlight counts this instance's requests at each backend server. It is safe for
// concurrent use.
//
// A request is counted before the check whether its server is draining. So if a
// server's count is zero while its drain is in force, the instance sends no
// further request to this server.
type InFlight struct {
	mu       sync.Mutex
	byServer map[string]int
}

// NewInFlight returns an InFlight without requests.
func NewInFlight() *InFlight { return &InFlight{byServer: make(map[string]int)} }

// Count returns the number of requests that are at a server or may still be
// sent to it.
func (f *InFlight) Count(server string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byServer[server]
}

func (f *InFlight) add(server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byServer[server]++
}

func (f *InFlight) remove(server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byServer[server]--
	if f.byServer[server] == 0 {
		delete(f.byServer, server)
	}
}
