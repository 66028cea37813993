package gossip

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/objects"
)

const (
	pathConfiguration = "/configuration"
	pathServers       = "/servers"
	// headerComplete states, in the response to pathServers, catalog.PeerServers.Complete as
	// "ERA/REVISION". Instances of the version before don't send it.
	headerComplete = "Complete-Version"
	// fetchTimeout bounds one request to a peer.
	fetchTimeout = 600 * time.Millisecond
	// fetchIdleTimeout is how long an idle connection to a peer is kept open.
	fetchIdleTimeout = 2 * time.Second
	// watcherFetchDelay is how long an instance that watches the store waits before
	// it fetches records from a peer, since its own watch may return them first.
	watcherFetchDelay = 120 * time.Millisecond
	// maxFetchBytes bounds the body of one response.
	maxFetchBytes = 32 << 20
)

func newFetchClient() *http.Client {
	dialer := net.Dialer{Timeout: fetchTimeout}
	return &http.Client{
		Timeout:   fetchTimeout,
		Transport: &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: fetchIdleTimeout, MaxIdleConnsPerHost: 1},
	}
}

// handler serves this instance's records to its peers.
func (n *Node) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathConfiguration, func(w http.ResponseWriter, _ *http.Request) {
		record, ok := n.opts.Catalog.ConfigurationRecord()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		n.writeRecords(w, []catalog.Record{record})
	})
	mux.HandleFunc("GET "+pathServers, func(w http.ResponseWriter, r *http.Request) {
		// The digest is taken first: if a change comes in between, the records are encoded again
		// for the next peer.
		digest := n.opts.Catalog.Digest()
		servers := n.opts.Catalog.Servers()
		raw, zipped, err := n.encoded.encode(digest, servers)
		if err != nil {
			n.opts.Log.Error("failed to encode records", "error", err)
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set(headerComplete, formatVersion(servers.Complete))
		if zipped != nil && strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
			w.Header().Set("Content-Encoding", "gzip")
			raw = zipped
		}
		// A failed write means that the peer has closed the connection.
		_, _ = w.Write(raw)
	})
	return mux
}

func (n *Node) writeRecords(w http.ResponseWriter, records []catalog.Record) {
	raw, err := cbor.Marshal(records)
	if err != nil {
		n.opts.Log.Error("failed to encode records", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// A failed write means that the peer has closed the connection. The peer fetches
	// the records again after a later datagram.
	_, _ = w.Write(raw)
}

// fetchIfBehind fetches records from a peer if its digest shows that this instance lacks
// some of the peer's records. Only one fetch runs at a time.
func (n *Node) fetchIfBehind(peer member) {
	own := n.opts.Catalog.Digest()
	lacking := differenceTo(own, peer.Digest)
	if peer.emptyFetch == [2]catalog.Digest{peer.Digest, own} {
		lacking = difference{}
	}
	behind := lacking.configuration || lacking.servers
	if peer.Digest.Era >= own.Era && !own.Configuration.After(peer.Digest.Configuration) {
		// A sender with an older configuration or era is itself behind, so its message does
		// not show whether this instance lacks records.
		n.setBehind(behind, time.Now())
	}
	if !behind {
		return
	}
	n.mu.Lock()
	alreadyFetching := n.fetching
	n.fetching = true
	n.mu.Unlock()
	if alreadyFetching {
		return
	}
	n.tasks.Go(func() {
		defer func() {
			n.mu.Lock()
			n.fetching = false
			n.mu.Unlock()
		}()
		if n.ShouldWatchStore(time.Now()) {
			time.Sleep(watcherFetchDelay)
		}
		n.fetchMissing(peer)
	})
}

// fetchMissing fetches the kinds of records that this instance lacks.
func (n *Node) fetchMissing(peer member) {
	own := n.opts.Catalog.Digest()
	lacking := differenceTo(own, peer.Digest)
	changes := 0
	// Servers are fetched before the configuration, because the instance counts as ready
	// for requests as soon as it has a configuration.
	if lacking.servers {
		changes = n.fetch(peer, pathServers)
	}
	if lacking.configuration {
		changes = cmp.Or(changes, n.fetch(peer, pathConfiguration))
	}
	switch {
	case changes == 0:
		n.recordEmptyFetch(peer, own)
	case changes > 0:
		n.noteProgress(time.Now())
	}
}

// recordEmptyFetch notes that a fetch from a peer brought nothing new. Nothing is fetched
// from it again until the records of either side change.
func (n *Node) recordEmptyFetch(peer member, own catalog.Digest) {
	n.opts.Log.Info("fetch from peer brought nothing new", "peer", peer.Name,
		"servers_digest", own.Servers, "peer_servers_digest", peer.Digest.Servers,
		"configuration", own.Configuration.Operator, "peer_configuration", peer.Digest.Configuration.Operator)
	n.mu.Lock()
	defer n.mu.Unlock()
	if known := n.members.all[peer.Address]; known != nil {
		known.emptyFetch = [2]catalog.Digest{peer.Digest, own}
	}
}

// fetch merges a peer's records into the catalog. It returns the number of changes,
// or -1 if the request failed.
func (n *Node) fetch(peer member, path string) int {
	taught, err := n.get("http://" + peer.Address.String() + path)
	if err != nil {
		n.opts.Log.Warn("failed to fetch records from peer", "peer", peer.Name, "path", path, "error", err.Error())
		return -1
	}
	changes := n.opts.Catalog.MergePeer(taught, time.Now())
	n.opts.OnChange("peer "+peer.Name, changes)
	return len(changes)
}

// get requests a peer's records. Those that can't be decoded are left out, and then nothing
// follows from the absence of a record.
func (n *Node) get(url string) (catalog.PeerServers, error) {
	var none catalog.PeerServers
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return none, err
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return none, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return none, errors.Errorf("unexpected HTTP status %d", resp.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxFetchBytes))
	if err != nil {
		return none, err
	}
	records, whole, err := decodeRecords(raw)
	if err != nil {
		return none, err
	}
	taught := catalog.PeerServers{Records: records}
	if whole {
		taught.Complete = parseVersion(resp.Header.Get(headerComplete))
	}
	return taught, nil
}

// decodeRecords decodes the records of a peer. Those that can't be decoded are left out;
// whole reports that there are none of them.
func decodeRecords(raw []byte) (records []catalog.Record, whole bool, err error) {
	var items []cbor.RawMessage
	if err := cbor.Unmarshal(raw, &items); err != nil {
		return nil, false, errors.Wrap(errMalformed, err.Error())
	}
	records = make([]catalog.Record, 0, len(items))
	for _, item := range items {
		var r catalog.Record
		if cbor.Unmarshal(item, &r) == nil {
			records = append(records, r)
		}
	}
	return records, len(records) == len(items), nil
}

func formatVersion(v objects.Version) string { return fmt.Sprintf("%d/%d", v.Era, v.Revision) }

// parseVersion returns the zero version if the text is not one of formatVersion.
func parseVersion(text string) objects.Version {
	era, revision, _ := strings.Cut(text, "/")
	e, eraErr := strconv.ParseInt(era, 10, 64)
	r, revisionErr := strconv.ParseInt(revision, 10, 64)
	if eraErr != nil || revisionErr != nil {
		return objects.Version{}
	}
	return objects.Version{Era: objects.Era(e), Revision: r}
}
