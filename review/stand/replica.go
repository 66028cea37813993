package stand

import (
	"fmt"
	"net"
	"net/http"
)

// Replica is a replica of a service.
type Replica struct {
	ID     string
	server *http.Server
}

// StartReplica starts a replica at a free port of the loopback address, and writes its entry.
func StartReplica(store *Store, id, service string, slots int, handler http.Handler) (*Replica, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Replica{ID: id, server: &http.Server{Handler: handler}}
	go func() { _ = r.server.Serve(listener) }()
	store.Put("servers", id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":"ro-central-a","version":"v1","slots":%d,"state":"ready","warmup_left_ms":0,"seq":1,"born":1}`, service, listener.Addr().String(), slots))
	return r, nil
}

// End ends the replica, with its connections.
func (r *Replica) End() { _ = r.server.Close() }
