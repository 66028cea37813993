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

func serve(t *testing.T, h http.HandlerFunc) *Client {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return New(Options{BaseURL: srv.URL, CallTimeout: 10 * time.Second})
}

func TestUpdateSendsTheVersionItDependsOn(t *testing.T) {
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if got := r.Method + " " + r.URL.String(); got != "PUT /objects/Lease/a%2Fb?version=7" {
			t.Errorf("request %s", got)
		}
		_ = json.NewEncoder(w).Encode(api.Object{Kind: api.KindLease, Name: "a/b", Version: 8})
	})
	got, err := c.Update(t.Context(), api.Object{Kind: api.KindLease, Name: "a/b", Version: 7})
	if err != nil || got.Version != 8 {
		t.Errorf("got %+v, %v", got, err)
	}
}

func TestConflictCarriesTheCurrentObject(t *testing.T) {
	current := api.Object{Kind: api.KindRoute, Name: "kilim", Version: 9}
	c := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(api.Error{Code: api.CodeConflict, Current: &current})
	})
	_, err := c.Create(t.Context(), api.Object{Kind: api.KindRoute, Name: "kilim"})
	var conflict *ConflictError
	if !errors.As(err, &conflict) || !errors.Is(err, ErrConflict) {
		t.Fatalf("error %v", err)
	}
	if diff := cmp.Diff(&current, conflict.Current); diff != "" {
		t.Error(diff)
	}
}

func TestStatusesBecomeNamedErrors(t *testing.T) {
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
		c := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(tt.status)
			_ = json.NewEncoder(w).Encode(api.Error{Code: tt.code})
		})
		if _, err := c.Create(t.Context(), api.Object{}); !errors.Is(err, tt.want) {
			t.Errorf("status %d: error %v, want %v", tt.status, err, tt.want)
		}
	}
}

func TestWriteCutAfterItWasSentIsUncertain(t *testing.T) {
	c := serve(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	if _, err := c.Create(t.Context(), api.Object{}); !errors.Is(err, ErrUncertain) {
		t.Errorf("write: %v", err)
	}
	if _, err := c.Get(t.Context(), api.KindLease, "a"); !errors.Is(err, ErrUnavailable) {
		t.Errorf("read: %v", err)
	}
}

func TestWriteThatReachedNobodyWasNotDone(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	srv.Close()
	c := New(Options{BaseURL: srv.URL})
	if _, err := c.Create(t.Context(), api.Object{}); !errors.Is(err, ErrUnavailable) {
		t.Errorf("error %v", err)
	}
}

func TestWatchHandsOverEventsInOrder(t *testing.T) {
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if got := r.URL.String(); got != "/watch?kinds=Route,Lease&from=3" {
			t.Errorf("request %s", got)
		}
		_, _ = io.WriteString(w, `{"type":"put","object":{"version":4}}`+"\n\n"+`{"type":"bookmark","object":{"version":5}}`+"\n")
	})
	var got []int64
	err := c.Watch(t.Context(), []api.Kind{api.KindRoute, api.KindLease}, 3, func(e api.WatchEvent) error {
		got = append(got, e.Object.Version)
		return nil
	})
	if diff := cmp.Diff([]int64{4, 5}, got); err != nil || diff != "" {
		t.Errorf("error %v, %s", err, diff)
	}
}

func TestSilentWatchEnds(t *testing.T) {
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	c.watchIdle = time.Millisecond
	err := c.Watch(t.Context(), nil, 0, func(api.WatchEvent) error { return nil })
	if !errors.Is(err, ErrUnavailable) {
		t.Errorf("error %v", err)
	}
}

func TestWatchReportsCompactionAndCancel(t *testing.T) {
	c := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusGone) })
	nothing := func(api.WatchEvent) error { return nil }
	if err := c.Watch(t.Context(), nil, 0, nothing); !errors.Is(err, ErrCompacted) {
		t.Errorf("error %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := c.Watch(ctx, nil, 0, nothing); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
}

func TestConnectionsAreKeptForManyCallsAtATime(t *testing.T) {
	const calls = 32
	var made atomic.Int64
	var together sync.WaitGroup
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		together.Done()
		together.Wait() // all calls are under way at once
		_, _ = io.WriteString(w, "{}")
	}))
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			made.Add(1)
		}
	}
	srv.Start()
	t.Cleanup(srv.Close)
	c := New(Options{BaseURL: srv.URL, CallTimeout: time.Minute})
	for range 3 {
		together.Add(calls)
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
	if got := made.Load(); got > calls+calls/2 {
		t.Errorf("%d connections for 3 times %d calls", got, calls)
	}
}
