package drain

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/config"
	"bergamotpin.example/bergamotpin/peer"
)

const (
	// callTimeout bounds a count request to one instance.
	callTimeout = time.Second
	// maxParallelCalls bounds the number of count requests in flight.
	maxParallelCalls = 16
)

// Server identifies a draining server by its name and the spec version that set
// Drain.
type Server struct {
	Name        string `cbor:"1,keyasint"`
	SpecVersion int64  `cbor:"2,keyasint"`
}

// CountRequest asks an instance how many requests it has at some servers.
type CountRequest struct {
	Servers []Server `cbor:"1,keyasint"`
}

// Count is one instance's count for one server.
type Count struct {
	// InFlight counts the requests that are at the server or may still be sent
	// to it.
	InFlight int `cbor:"1,keyasint,omitempty"`
	// InForce says whether the drain is in force at the instance. If so, the
	// instance sends the server no new request.
	InForce bool `cbor:"2,keyasint,omitempty"`
}

// CountResponse has one count for each server of the request, in the same
// order.
type CountResponse struct {
	Counts []Count `cbor:"1,keyasint"`
}

// LocalCount returns this instance's own count for a server.
type LocalCount func(s Server) Count

// HandleCounts registers the handler for count requests from other instances.
func HandleCounts(t peer.Transport, local LocalCount) {
	peer.Handle(t, peer.KindDrainCount, func(_ context.Context, _ netip.AddrPort, req CountRequest) (CountResponse, error) {
		return CountResponse{Counts: countAll(req.Servers, local)}, nil
	})
}

func countAll(servers []Server, local LocalCount) []Count {
	counts := make([]Count, len(servers))
	for i, s := range servers {
		counts[i] = local(s)
	}
	return counts
}

// total is the sum of all instances' counts for one server.
type total struct {
	inFlight     int
	unresponsive int // instances that did not respond
	notInForce   int // instances that responded but do not have the drain in force
}

// empty reports whether all instances responded, have the drain in force and
// counted no request.
func (t total) empty() bool { return t == total{} }

func (t *total) add(c Count) {
	t.inFlight += c.InFlight
	if !c.InForce {
		t.notInForce++
	}
}

// sumOverInstances fetches the peers' counts, and returns one total over this
// instance and the peers for each server, in the order of servers.
func sumOverInstances(ctx context.Context, t peer.Transport, peers []netip.AddrPort, servers []Server, local LocalCount) []total {
	responses := make([][]Count, len(peers))
	semaphore := make(chan struct{}, maxParallelCalls)
	var group sync.WaitGroup
	for i, p := range peers {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			responses[i] = fetchCounts(ctx, t, p, servers)
		})
	}
	group.Wait()
	responses = append(responses, countAll(servers, local))
	return addUp(servers, responses)
}

// fetchCounts returns a peer's counts, or nil if it gave no usable response.
func fetchCounts(ctx context.Context, t peer.Transport, to netip.AddrPort, servers []Server) []Count {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := peer.Call[CountRequest, CountResponse](ctx, t, to, peer.KindDrainCount, CountRequest{Servers: servers})
	if err != nil || len(resp.Counts) != len(servers) {
		return nil
	}
	return resp.Counts
}

// addUp returns one total for each server, in the order of servers. Each response
// has one count for each server, or is nil if the instance did not respond.
func addUp(servers []Server, responses [][]Count) []total {
	totals := make([]total, len(servers))
	for _, counts := range responses {
		for i := range totals {
			if counts == nil {
				totals[i].unresponsive++
				continue
			}
			totals[i].add(counts[i])
		}
	}
	return totals
}

// NewLocalCount returns a LocalCount. The function snapshot returns the
// configuration in force, and inFlight returns the number of requests that this
// instance has at a server. Each request must be counted in inFlight before Drain
// is checked for the request.
func NewLocalCount(snapshot func() *config.Snapshot, inFlight func(server string) int) LocalCount {
	return func(s Server) Count {
		entry := snapshot().BackendServers[s.Name]
		inForce := entry.SpecVersion >= s.SpecVersion && entry.Spec.Drain
		// The configuration is read first and the requests are counted second. A
		// request that is missing in this count is counted later, and only then is
		// Drain checked for it. So if inForce is set, that request is not sent.
		return Count{InFlight: inFlight(s.Name), InForce: inForce}
	}
}
