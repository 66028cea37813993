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
	callTimeout = time.Second // for a count request to one instance
	// maxParallelCalls bounds the number of calls in flight.
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
	// InForce says whether the drain is in force at the instance, so that it
	// sends the server no new request.
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

func (t total) empty() bool { return t == total{} }

func (t *total) add(c Count) {
	t.inFlight += c.InFlight
	if !c.InForce {
		t.notInForce++
	}
}

// sumOverInstances adds up the counts of this instance and of the given peers.
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

// NewLocalCount returns a LocalCount that uses the configuration in force and
// the number of requests that this instance has at a server. A request must be
// counted in inFlight before Drain is checked for it.
func NewLocalCount(snapshot func() *config.Snapshot, inFlight func(server string) int) LocalCount {
	return func(s Server) Count {
		entry := snapshot().BackendServers[s.Name]
		inForce := entry.SpecVersion >= s.SpecVersion && entry.Spec.Drain
		// The requests are counted after the configuration is read. If inForce is
		// set, a request that is not in this count is counted later, so it then
		// finds the drain in force and is not sent.
		return Count{InFlight: inFlight(s.Name), InForce: inForce}
	}
}
