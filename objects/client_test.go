package objects

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"bergamotpin.example/bergamotpin/api"
)

// newTestClient returns a client of an HTTP server that runs h.
func newTestClient(t *testing.T, h http.HandlerFunc) *Client {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return New(Options{BaseURL: srv.URL, CallTimeout: 10 * time.Second})
}

// An update must send the version that the caller read, so that the platform can
// refuse it if the object has changed since.
func TestUpdateSendsExpectedVersion(t *testing.T) {
	c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		if got := r.Method + " " + r.URL.String(); got != "PUT /objects/Lease/a%2Fb?version=7" {
			t.Errorf("request %s, want a PUT of Lease a/b at version 7", got)
		}
		_ = json.NewEncoder(w).Encode(api.Object{Kind: api.KindLease, Name: "a/b", Version: 8})
	})
	got, err := c.Update(t.Context(), api.Object{Kind: api.KindLease, Name: "a/b", Version: 7})
	if err != nil || got.Version != 8 {
		t.Errorf("updated object %+v, error %v, want an object at version 8 and no error", got, err)
	}
}

// The error of a conflict must hold the stored object, so that the caller need not
// read it again.
func TestConflictErrorHoldsCurrentObject(t *testing.T) {
	current := api.Object{Kind: api.KindRoute, Name: "kilim", Version: 9}
	c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(api.ErrorResponse{Code: api.CodeConflict, Current: &current})
	})
	_, err := c.Create(t.Context(), api.Object{Kind: api.KindRoute, Name: "kilim"})
	var conflict *ConflictError
	if !errors.As(err, &conflict) || !errors.Is(err, ErrConflict) {
		t.Fatalf("create of an object that exists: error %v, want a *ConflictError", err)
	}
	if diff := cmp.Diff(&current, conflict.Current); diff != "" {
		t.Error(diff)
	}
}

// Each status of a failed call maps to one error. A failed write is uncertain only
// if neither the status nor the error code shows that the write was not executed.
func TestStatusCodesMapToErrors(t *testing.T) {
	tests := []struct {
		status int
		code   string
		want   error
	}{
		{http.StatusNotFound, api.CodeNotFound, ErrNotFound},
		{http.StatusTooManyRequests, api.CodeRateLimited, ErrRateLimited},
		{http.StatusServiceUnavailable, api.CodeUnavailable, ErrUnavailable},
		{http.StatusBadGateway, "", ErrUncertain},
		{http.StatusBadRequest, api.CodeInvalid, ErrInvalid},
	}
	for _, tt := range tests {
		c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(tt.status)
			_ = json.NewEncoder(w).Encode(api.ErrorResponse{Code: tt.code})
		})
		if _, err := c.Create(t.Context(), api.Object{}); !errors.Is(err, tt.want) {
			t.Errorf("create with response status %d: error %v, want %v", tt.status, err, tt.want)
		}
	}
}

// A write whose connection breaks before the response may have taken effect. A read
// changes nothing, so its error is ErrUnavailable.
func TestWriteWithoutResponseIsUncertain(t *testing.T) {
	c := newTestClient(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	if _, err := c.Create(t.Context(), api.Object{}); !errors.Is(err, ErrUncertain) {
		t.Errorf("write with a broken connection: error %v, want ErrUncertain", err)
	}
	if _, err := c.Get(t.Context(), api.KindLease, "a"); !errors.Is(err, ErrUnavailable) {
		t.Errorf("read with a broken connection: error %v, want ErrUnavailable", err)
	}
}

// A write that found no connection can't have taken effect, so it is not uncertain.
func TestWriteWithoutConnectionIsUnavailable(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	srv.Close()
	c := New(Options{BaseURL: srv.URL})
	if _, err := c.Create(t.Context(), api.Object{}); !errors.Is(err, ErrUnavailable) {
		t.Errorf("write without a connection: error %v, want ErrUnavailable", err)
	}
}

// A watch must deliver the event of each line in order and skip empty lines.
func TestWatchDeliversEventsInOrder(t *testing.T) {
	c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		if got := r.URL.String(); got != "/watch?kinds=Route,Lease&from=3" {
			t.Errorf("request %s, want a watch of Route and Lease from version 3", got)
		}
		_, _ = io.WriteString(w, `{"type":"put","object":{"version":4}}`+"\n\n"+`{"type":"bookmark","object":{"version":5}}`+"\n")
	})
	var got []int64
	err := c.Watch(t.Context(), []api.Kind{api.KindRoute, api.KindLease}, 3, func(e api.WatchEvent) error {
		got = append(got, e.Object.Version)
		return nil
	})
	if diff := cmp.Diff([]int64{4, 5}, got); err != nil || diff != "" {
		t.Errorf("watch: error %v, want none; versions of the events (-want +got): %s", err, diff)
	}
}

// A watch whose response stops without being closed must end after the idle timeout.
func TestSilentWatchTimesOut(t *testing.T) {
	c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	c.watchIdleTimeout = time.Millisecond
	err := c.Watch(t.Context(), nil, 0, func(api.WatchEvent) error { return nil })
	if !errors.Is(err, ErrUnavailable) {
		t.Errorf("watch without events: error %v, want ErrUnavailable", err)
	}
}

// A watch from a compacted version and a watch with a cancelled context must return
// errors that the caller can tell apart.
func TestWatchReportsCompactionAndCancellation(t *testing.T) {
	c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusGone) })
	ignoreEvent := func(api.WatchEvent) error { return nil }
	if err := c.Watch(t.Context(), nil, 0, ignoreEvent); !errors.Is(err, ErrCompacted) {
		t.Errorf("watch of a compacted version: error %v, want ErrCompacted", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := c.Watch(ctx, nil, 0, ignoreEvent); !errors.Is(err, context.Canceled) {
		t.Errorf("watch with a cancelled context: error %v, want context.Canceled", err)
	}
}

// The client must keep enough idle connections for parallel calls. With too few,
// each group of parallel calls would open new connections.
func TestConnectionsAreReusedByParallelCalls(t *testing.T) {
	const calls = 32
	var newConns atomic.Int64
	var inFlight sync.WaitGroup
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		inFlight.Done()
		inFlight.Wait() // until all calls of this group have arrived
		_, _ = io.WriteString(w, "{}")
	}))
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			newConns.Add(1)
		}
	}
	srv.Start()
	t.Cleanup(srv.Close)
	c := New(Options{BaseURL: srv.URL, CallTimeout: time.Minute})
	for range 3 {
		inFlight.Add(calls)
		var group sync.WaitGroup
		for range calls {
			group.Go(func() {
				if _, err := c.Get(t.Context(), api.KindLease, "a"); err != nil {
					t.Error(err)
				}
			})
		}
		group.Wait()
	}
	if got := newConns.Load(); got > calls+calls/2 {
		t.Errorf("%d connections for 3 groups of %d parallel calls, want at most 1.5 times the calls of one group", got, calls)
	}
}
