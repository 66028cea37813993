package chaos

import (
	"fmt"
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/config"
	"bergamotpin.example/bergamotpin/serve"
)

// monitor looks at the configuration of each running instance all the time, and
// notes each that went back to an older one. It is safe for concurrent use.
type monitor struct {
	done chan struct{}
	task sync.WaitGroup

	mu       sync.Mutex
	followed map[string]*followed
	failures []Failure
}

// followed is one instance from its start to its end.
type followed struct {
	instance *serve.Instance
	last     *config.Snapshot
	// floor is a revision that it knows once it is ready.
	floor int64
}

func newMonitor() *monitor {
	m := &monitor{done: make(chan struct{}), followed: make(map[string]*followed)}
	m.task.Go(m.run)
	return m
}

func (m *monitor) close() {
	close(m.done)
	m.task.Wait()
}

func (m *monitor) run() {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.look()
		case <-m.done:
			return
		}
	}
}

// follow begins to look at an instance that was started under the name.
func (m *monitor) follow(name string, i *serve.Instance, floor int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.followed[name] = &followed{instance: i, last: i.Config(), floor: floor}
}

// forget ends the look at an instance.
func (m *monitor) forget(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.followed, name)
}

// take returns the failures since the last call.
func (m *monitor) take() []Failure {
	m.look()
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.failures
	m.failures = nil
	return out
}

func (m *monitor) look() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, f := range m.followed {
		for _, complaint := range f.look() {
			m.failures = append(m.failures, Failure{Configuration, name + ": " + complaint})
		}
	}
}

// look compares the instance's configuration with the last one.
func (f *followed) look() []string {
	ready := f.instance.Ready()
	now := f.instance.Config()
	var out []string
	if ready && now.Revision < f.floor {
		out = append(out, fmt.Sprintf("ready at revision %d, others knew %d before it started", now.Revision, f.floor))
		f.floor = 0
	}
	if now == f.last {
		return out
	}
	if now.Revision < f.last.Revision {
		out = append(out, fmt.Sprintf("revision fell from %d to %d", f.last.Revision, now.Revision))
	}
	out = append(out, fallen(f.last.Classes, now.Classes)...)
	out = append(out, fallen(f.last.Organisations, now.Organisations)...)
	out = append(out, fallen(f.last.Routes, now.Routes)...)
	out = append(out, fallen(f.last.BackendServers, now.BackendServers)...)
	f.last = now
	return out
}

// fallen names the entries that are older than before, or gone: a run deletes
// none.
func fallen[S any](before, after map[string]config.Entry[S]) []string {
	var out []string
	for name, old := range before {
		entry, ok := after[name]
		switch {
		case !ok:
			out = append(out, name+" is gone")
		case entry.SpecVersion < old.SpecVersion:
			out = append(out, fmt.Sprintf("%s fell from version %d to %d", name, old.SpecVersion, entry.SpecVersion))
		}
	}
	return out
}
