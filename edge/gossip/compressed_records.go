package gossip

// After each change of a server, all instances fetch the records from the few that have learnt of
// it first. Those may have slow links, and many changes come together when servers are ordered,
// released or taken back. So the records are sent compressed, and compressed once for all.

import (
	"bytes"
	"compress/gzip"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/edge/catalog"
)

// minCompressedBytes is the size from which records are compressed.
const minCompressedBytes = 1024

// encodedServers holds the records of the servers as they were last sent. It is safe for
// concurrent use.
type encodedServers struct {
	mu     sync.Mutex
	of     serversState
	raw    []byte
	zipped []byte
}

// serversState tells apart the records of two moments. Deleted servers are not part of the digest.
type serversState struct {
	digest  catalog.Digest
	records int
	of      string
}

// encode returns the records as they are sent, and compressed, or nil if that isn't worthwhile.
func (e *encodedServers) encode(digest catalog.Digest, servers catalog.PeerServers) (raw, zipped []byte, err error) {
	state := serversState{digest, len(servers.Records), formatVersion(servers.Complete)}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.raw != nil && e.of == state {
		return e.raw, e.zipped, nil
	}
	if raw, err = cbor.Marshal(servers.Records); err != nil {
		return nil, nil, errors.Wrap(err, "encode records")
	}
	if zipped, err = compress(raw); err != nil {
		return nil, nil, err
	}
	e.of, e.raw, e.zipped = state, raw, zipped
	return raw, zipped, nil
}

// compress returns nil if the data is small.
func compress(raw []byte) ([]byte, error) {
	if len(raw) < minCompressedBytes {
		return nil, nil
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if _, err := w.Write(raw); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return out.Bytes(), nil
}
