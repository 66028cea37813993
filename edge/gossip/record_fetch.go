package gossip

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/edge/catalog"
)

const (
	pathConfiguration = "/configuration"
	pathServers       = "/servers"
	// fetchTimeout bounds one fetch.
	fetchTimeout = 600 * time.Millisecond
	// fetchIdle is how long a connection to a peer is kept.
	fetchIdle = 2 * time.Second
	// settle is the time in which the store's watch may bring what a peer has
	// already to an instance that follows the store.
	settle = 120 * time.Millisecond
	// maxFetchBytes bounds one answer.
	maxFetchBytes = 32 << 20
)

func newFetchClient() *http.Client {
	dialer := net.Dialer{Timeout: fetchTimeout}
	return &http.Client{
		Timeout:   fetchTimeout,
		Transport: &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: fetchIdle, MaxIdleConnsPerHost: 1},
	}
}

// handler serves this instance's records to others.
func (b *Node) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathConfiguration, func(w http.ResponseWriter, _ *http.Request) {
		record, ok := b.opts.Catalog.ConfigurationRecord()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		b.answer(w, []catalog.Record{record})
	})
	mux.HandleFunc("GET "+pathServers, func(w http.ResponseWriter, _ *http.Request) {
		b.answer(w, b.opts.Catalog.ServerRecords())
	})
	return mux
}

func (b *Node) answer(w http.ResponseWriter, records []catalog.Record) {
	raw, err := cbor.Marshal(records)
	if err != nil {
		b.opts.Log.Error("records not encoded", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// A failed write means that the peer is gone. It asks again.
	_, _ = w.Write(raw)
}

// compare fetches from the sender of a message what this instance lacks, one
// fetch at a time.
func (b *Node) compare(e member, m message) {
	revision, servers := b.opts.Catalog.Digest()
	same := m.Servers == servers || e.fruitless == [2]uint64{m.Servers, servers}
	behind := m.Revision > revision || !same
	if m.Revision >= revision {
		// A sender with less to tell says nothing about what is lacking here.
		b.noteBehind(behind, time.Now())
	}
	if !behind {
		return
	}
	b.mu.Lock()
	busy := b.fetching
	b.fetching = true
	b.mu.Unlock()
	if busy {
		return
	}
	b.wait.Go(func() {
		defer func() {
			b.mu.Lock()
			b.fetching = false
			b.mu.Unlock()
		}()
		if b.ShouldWatchStore(time.Now()) {
			time.Sleep(settle)
		}
		b.fetchMissing(e, m)
	})
}

func (b *Node) fetchMissing(e member, m message) {
	revision, servers := b.opts.Catalog.Digest()
	// The servers come before the configuration, which makes an instance ready.
	if m.Servers != servers && b.fetch(e, pathServers) == 0 {
		b.rememberFruitless(e, m.Servers, servers)
	}
	if m.Revision > revision {
		b.fetch(e, pathConfiguration)
	}
}

// rememberFruitless keeps this instance from asking again until either side's
// records change.
func (b *Node) rememberFruitless(e member, theirs, own uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known := b.members.all[e.Address]; known != nil {
		known.fruitless = [2]uint64{theirs, own}
	}
}

// fetch takes in a peer's records and returns how many of them changed
// something, or -1 if they did not come.
func (b *Node) fetch(e member, path string) int {
	records, err := b.get("http://" + e.Address.String() + path)
	if err != nil {
		b.opts.Log.Warn("peer fetch failed", "peer", e.Name, "path", path, "error", err.Error())
		return -1
	}
	changes := b.opts.Catalog.Merge(records, time.Now())
	b.opts.OnChange("peer "+e.Name, changes)
	return len(changes)
}

func (b *Node) get(url string) ([]catalog.Record, error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", resp.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxFetchBytes))
	if err != nil {
		return nil, err
	}
	var records []catalog.Record
	if err := cbor.Unmarshal(raw, &records); err != nil {
		return nil, errors.Wrap(errMalformed, err.Error())
	}
	return records, nil
}
