// Package reachability finds out whether this instance reaches any backend server. An instance
// may lose its paths to all servers while callers and other instances still reach it. It then
// hands requests on to instances that do reach servers.
//
// Guarantees: an instance is cut off only once new connections to all of a sample of servers
// have failed, after a failure in its own traffic. While it is cut off, it tries again by
// itself, so that the way back costs no caller a request.
package reachability

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/edge/backendclient"
)

const (
	// firstSample and secondSample are how many servers are tried before the instance counts
	// as cut off: the second ones only if none of the first accepts.
	firstSample  = 6
	secondSample = 10
	// returnSample is how many servers are tried in each round while it is cut off.
	returnSample = 4
	// connectTimeout bounds one try. A server that is up accepts within a few milliseconds.
	connectTimeout = 200 * time.Millisecond
	// contactAge is for how long a new connection shows that servers are within reach.
	contactAge = 100 * time.Millisecond
	// minCheckInterval is the least time between two checks while servers are within reach.
	minCheckInterval = 200 * time.Millisecond
	// roundInterval is the time between two rounds while the instance is cut off.
	roundInterval = 250 * time.Millisecond
	// returnConnections is how many servers must accept before the instance counts as
	// connected again: in one round, or one in each of as many rounds.
	returnConnections = 2
)

// Options configures a Monitor. All fields are required.
type Options struct {
	// Servers returns the servers that there are.
	Servers func() []backendclient.Server
	// Connect reports whether a server accepts a new connection.
	Connect func(ctx context.Context, s backendclient.Server) bool
	// OnChange is called when the instance loses its paths to all servers, or has some again.
	OnChange func()
	Log      *slog.Logger
}

// Monitor watches this instance's paths to servers. It is safe for concurrent use.
type Monitor struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	mu          sync.Mutex
	cut         bool
	cutSince    time.Time
	connectedAt time.Time
	checkedAt   time.Time
	// check is closed when the running check ends. It is nil if none runs.
	check  chan struct{}
	closed bool
}

// New returns a monitor that takes servers for reachable. It must be closed.
func New(o Options) *Monitor {
	m := &Monitor{options: o}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// Close ends the monitor's tries.
func (m *Monitor) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	m.tasks.Wait()
}

// CutOff reports whether this instance reaches no server.
func (m *Monitor) CutOff() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut
}

// Connected records that a new connection to a server was made.
func (m *Monitor) Connected() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connectedAt = time.Now()
}

// Suspect has the paths checked, because something failed in a way that a lost path explains.
// It does not wait.
func (m *Monitor) Suspect() {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.cut || m.check != nil || now.Sub(m.connectedAt) < contactAge || now.Sub(m.checkedAt) < minCheckInterval {
		return
	}
	m.check, m.checkedAt = make(chan struct{}), now
	m.tasks.Go(m.run)
}

// Verdict waits for the end of a running check and reports whether this instance is cut off.
func (m *Monitor) Verdict(ctx context.Context) bool {
	m.mu.Lock()
	check := m.check
	m.mu.Unlock()
	if check != nil {
		select {
		case <-check:
		case <-ctx.Done():
		}
	}
	return m.CutOff()
}

// run checks the paths. If no server can be reached, it goes on until one can.
func (m *Monitor) run() {
	servers := m.shuffled()
	first := min(firstSample, len(servers))
	second := min(first+secondSample, len(servers))
	lost := len(servers) > 0 && m.accepting(servers[:first]) == 0 && m.accepting(servers[first:second]) == 0 && m.ctx.Err() == nil
	m.endCheck(lost, second)
	if !lost {
		return
	}
	m.options.OnChange()
	for accepted := 0; accepted < returnConnections; {
		select {
		case <-m.ctx.Done():
			return
		case <-time.After(roundInterval):
		}
		servers := m.shuffled()
		now := m.accepting(servers[:min(returnSample, len(servers))])
		accepted += now
		if now == 0 {
			accepted = 0
		}
	}
	m.endCut()
	m.options.OnChange()
}

func (m *Monitor) endCheck(lost bool, tried int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.check)
	m.check = nil
	if lost {
		m.cut, m.cutSince = true, time.Now()
		m.options.Log.Warn("no server reached", "tried", tried, "last_connected_ms", m.cutSince.Sub(m.connectedAt).Milliseconds())
	}
}

func (m *Monitor) endCut() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = false
	m.options.Log.Info("servers reached again", "after_ms", time.Since(m.cutSince).Milliseconds())
}

func (m *Monitor) shuffled() []backendclient.Server {
	servers := m.options.Servers()
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	return servers
}

// accepting returns how many of the servers accept a connection. All are tried at once.
func (m *Monitor) accepting(servers []backendclient.Server) int {
	ctx, cancel := context.WithTimeout(m.ctx, connectTimeout)
	defer cancel()
	accepted := make(chan bool, len(servers))
	for _, s := range servers {
		go func() { accepted <- m.options.Connect(ctx, s) }()
	}
	count := 0
	for range servers {
		if <-accepted {
			count++
		}
	}
	return count
}
