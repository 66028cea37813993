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
	callTimeout = time.Second
	// callsParallel bounds the calls under way.
	callsParallel = 16
)

// Server names a draining server and the spec version that set Drain.
type Server struct {
	Name        string `cbor:"1,keyasint"`
	SpecVersion int64  `cbor:"2,keyasint"`
}

// CountRequest asks an instance for its requests at some servers.
type CountRequest struct {
	Servers []Server `cbor:"1,keyasint"`
}

// Count is one instance's answer for one server.
type Count struct {
	// InFlight counts the requests that are at the server or may still be sent
	// to it.
	InFlight int `cbor:"1,keyasint,omitempty"`
	// InForce says that the instance has the drain in force.
	InForce bool `cbor:"2,keyasint,omitempty"`
}

// CountResponse has one count for each server of the request, in its order.
type CountResponse struct {
	Counts []Count `cbor:"1,keyasint"`
}

// LocalCount returns this instance's own count for a server.
type LocalCount func(s Server) Count

// HandleCounts answers the counts that other instances ask for.
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

// total is the sum over all instances for one server.
type total struct {
	inFlight   int
	silent     int // instances that did not answer
	notInForce int // instances that answered without the drain in force
}

func (t total) empty() bool { return t == total{} }

func (t *total) add(c Count) {
	t.inFlight += c.InFlight
	if !c.InForce {
		t.notInForce++
	}
}

// ask sums the counts of this instance and the given others.
func ask(ctx context.Context, t peer.Transport, peers []netip.AddrPort, servers []Server, local LocalCount) []total {
	answers := make([][]Count, len(peers))
	slots := make(chan struct{}, callsParallel)
	var group sync.WaitGroup
	for i, p := range peers {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			answers[i] = askOne(ctx, t, p, servers)
		})
	}
	group.Wait()
	answers = append(answers, countAll(servers, local))
	return sum(servers, answers)
}

// askOne returns nil without a usable answer.
func askOne(ctx context.Context, t peer.Transport, to netip.AddrPort, servers []Server) []Count {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := peer.Call[CountRequest, CountResponse](ctx, t, to, peer.KindDrainCount, CountRequest{Servers: servers})
	if err != nil || len(resp.Counts) != len(servers) {
		return nil
	}
	return resp.Counts
}

func sum(servers []Server, answers [][]Count) []total {
	totals := make([]total, len(servers))
	for _, counts := range answers {
		for i := range totals {
			if counts == nil {
				totals[i].silent++
				continue
			}
			totals[i].add(counts[i])
		}
	}
	return totals
}

// NewLocalCount returns an instance's own counts, from the configuration in force
// and from the number of requests that it has at a server. A request must be
// counted before Drain is checked for it.
func NewLocalCount(snapshot func() *config.Snapshot, inFlight func(server string) int) LocalCount {
	return func(s Server) Count {
		entry := snapshot().BackendServers[s.Name]
		inForce := entry.SpecVersion >= s.SpecVersion && entry.Spec.Drain
		// Counted after the look at the configuration: a request that is not
		// in the number finds the drain in force.
		return Count{InFlight: inFlight(s.Name), InForce: inForce}
	}
}
