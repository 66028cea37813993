package edge

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// cutKind says what becomes of an instance's connections to servers in a cut.
type cutKind int

const (
	// cutHangs has open and new connections hang.
	cutHangs cutKind = iota
	// cutRefuses resets open connections and refuses new ones.
	cutRefuses
	// cutRefusesNew refuses new connections, while open ones live on.
	cutRefusesNew
)

// links are one instance's connections to servers. They may be cut.
type links struct {
	mu   sync.Mutex
	cut  bool
	kind cutKind
	// changed is closed, and replaced, when the state changes.
	changed chan struct{}
	open    map[*cuttableConn]bool
}

func newLinks() *links {
	return &links{changed: make(chan struct{}), open: make(map[*cuttableConn]bool)}
}

func (l *links) set(cut bool, kind cutKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.kind = cut, kind
	close(l.changed)
	l.changed = make(chan struct{})
	if cut && kind == cutRefuses {
		for c := range l.open {
			_ = c.Conn.Close()
		}
	}
}

func (l *links) state() (cut bool, kind cutKind, changed chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut, l.kind, l.changed
}

// dial connects to a server unless the links are cut.
func (l *links) dial(ctx context.Context, network, address string) (net.Conn, error) {
	cut, kind, _ := l.state()
	switch {
	case cut && kind == cutHangs:
		<-ctx.Done()
		return nil, ctx.Err()
	case cut:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &cuttableConn{Conn: conn, links: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = true
	return c, nil
}

// cuttableConn is a connection through which nothing comes while its links hang.
type cuttableConn struct {
	net.Conn
	links  *links
	closed chan struct{}
	close  sync.Once
	// readDeadline is in Unix nanoseconds, or 0 if there is none.
	readDeadline atomic.Int64
}

func (c *cuttableConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(t)
}

func (c *cuttableConn) SetReadDeadline(t time.Time) error {
	c.readDeadline.Store(0)
	if !t.IsZero() {
		c.readDeadline.Store(t.UnixNano())
	}
	return c.Conn.SetReadDeadline(t)
}

// hang waits until the links change or a read must end. It returns the error of the read.
func (c *cuttableConn) hang(changed chan struct{}) error {
	var timeout <-chan time.Time
	if at := c.readDeadline.Load(); at != 0 {
		timeout = time.After(time.Until(time.Unix(0, at)))
	}
	select {
	case <-changed:
		return nil
	case <-c.closed:
		return net.ErrClosed
	case <-timeout:
		return os.ErrDeadlineExceeded
	}
}

func (c *cuttableConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		cut, kind, changed := c.links.state()
		if err != nil || !cut || kind != cutHangs {
			return n, err
		}
		if err := c.hang(changed); err != nil || n > 0 {
			return n, err
		}
	}
}

func (c *cuttableConn) Close() error {
	c.links.mu.Lock()
	delete(c.links.open, c)
	c.links.mu.Unlock()
	c.close.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// cutFleet is a number of instances with cuttable links before a number of servers.
type cutFleet struct {
	t         *testing.T
	instances []*testInstance
	links     []*links
	servers   []*platformtest.BackendServer
}

func newCutFleet(t *testing.T, instances, servers int) *cutFleet {
	t.Helper()
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	f := &cutFleet{t: t}
	for n := range servers {
		s := platformtest.NewBackendServer(fmt.Sprint("i-", n), "s")
		t.Cleanup(s.Close)
		s.SetBehaviour(platformtest.Behaviour{Events: 3, EventPause: 10 * time.Millisecond})
		store.Put("servers", s.ID, s.Entry("ready"))
		f.servers = append(f.servers, s)
	}
	store.Put("config", "main", configurationText(1))
	port := freePort(t, "127.0.0.2")
	for n := range instances {
		l := newLinks()
		f.links = append(f.links, l)
		log := &lockedBuffer{}
		i := startInstanceWith(t, Options{LogOutput: log, DialServer: l.dial}, fmt.Sprint("127.0.0.", n+2), port, store.URL, 1)
		i.log = log
		f.instances = append(f.instances, i)
	}
	for _, i := range f.instances {
		await(t, "ready", i.isReady)
		await(t, "all others live", func() bool { live, _ := i.gossip.CountInstances(); return live == instances })
	}
	return f
}

// contactTime is how long a cut lasts before its callers must be served, and recoverWindow
// how long they are counted after that.
const (
	contactTime   = 3 * time.Second
	recoverWindow = 2 * time.Second
)

// served counts the requests that an instance answered, and all that it got.
type served struct{ ok, all int }

// load sends requests of all kinds to each instance for the given time, one each 25 ms.
func (f *cutFleet) load(name string, duration time.Duration) []served {
	paths := []string{platformtest.PathSafe, platformtest.PathUnsafe, platformtest.PathStream, platformtest.PathResumable}
	counts := make([]served, len(f.instances))
	var mu sync.Mutex
	var wait sync.WaitGroup
	end := time.Now().Add(duration)
	for n := 0; time.Now().Before(end); n++ {
		for k, i := range f.instances {
			path := paths[n%len(paths)]
			wait.Go(func() {
				got := i.roundTrip(testRequest{path: path, id: fmt.Sprint(name, "-", n, "-", k)})
				mu.Lock()
				defer mu.Unlock()
				counts[k].all++
				if got.status == 200 {
					counts[k].ok++
				}
			})
		}
		time.Sleep(25 * time.Millisecond)
	}
	wait.Wait()
	return counts
}

// TestCallersOfInstancesWithoutLinksAreNotServed guards against instances that reach no server
// and refuse their callers, although other instances reach the servers.
func TestCallersOfInstancesWithoutLinksAreNotServed(t *testing.T) {
	for name, kind := range map[string]cutKind{"hang": cutHangs, "refuse": cutRefuses, "refuse new ones": cutRefusesNew} {
		t.Run(name, func(t *testing.T) {
			const cut = 2
			f := newCutFleet(t, 5, 4)
			f.load("before", 500*time.Millisecond)
			for _, l := range f.links[:cut] {
				l.set(true, kind)
			}
			f.load("early", contactTime)
			var without, with served
			for n, s := range f.load("counted", recoverWindow) {
				sum := &with
				if n < cut {
					sum = &without
				}
				sum.ok += s.ok
				sum.all += s.all
			}
			if 3*without.ok*with.all < 2*with.ok*without.all {
				t.Errorf("the instances without links served %d of %d requests, the others %d of %d; want two thirds of their share or more", without.ok, without.all, with.ok, with.all)
			}
			f.expectAtMostOnce()
		})
	}
}

// linesOn returns the lines of the instances' logs that name a request.
func (f *cutFleet) linesOn(id string) string {
	var lines strings.Builder
	for n, i := range f.instances {
		for line := range strings.Lines(i.log.String()) {
			if strings.Contains(line, `"`+id+`"`) {
				fmt.Fprintf(&lines, "%d: %s", n, line)
			}
		}
	}
	return lines.String()
}

// expectAtMostOnce checks that no unsafe request ran twice.
func (f *cutFleet) expectAtMostOnce() {
	f.t.Helper()
	runs := make(map[string]int)
	for _, s := range f.servers {
		for _, r := range s.Received() {
			if r.Ran && r.Target == platformtest.PathUnsafe {
				runs[r.Header.Get(platform.HeaderRequestID)]++
			}
		}
	}
	for id, n := range runs {
		if n > 1 {
			f.t.Errorf("the unsafe request %s ran %d times, want once; the instances' lines on it:\n%s", id, n, f.linesOn(id))
		}
	}
}
