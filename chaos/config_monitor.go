package chaos

import (
	"fmt"
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/config"
	"bergamotpin.example/bergamotpin/serve"
)

// configMonitor polls the configuration of each watched instance. If a
// configuration returns to an older state, the monitor records a failure. It is
// safe for concurrent use.
type configMonitor struct {
	done chan struct{}
	task sync.WaitGroup

	mu       sync.Mutex
	watched  map[string]*watchedInstance
	failures []Failure
}

// watchedInstance is one run of an instance, from its start until it is killed
// or leaves.
type watchedInstance struct {
	instance *serve.Instance
	lastSeen *config.Snapshot // configuration at the previous check
	// minRevision is the lowest configuration revision that the instance may
	// hold once it is ready. Zero allows any revision.
	minRevision int64
}

func newConfigMonitor() *configMonitor {
	m := &configMonitor{done: make(chan struct{}), watched: make(map[string]*watchedInstance)}
	m.task.Go(m.run)
	return m
}

func (m *configMonitor) close() {
	close(m.done)
	m.task.Wait()
}

func (m *configMonitor) run() {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.checkAll()
		case <-m.done:
			return
		}
	}
}

// watch starts checking an instance that has just started. The name identifies
// the instance in failures and in stopWatching.
func (m *configMonitor) watch(name string, instance *serve.Instance, minRevision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watched[name] = &watchedInstance{instance: instance, lastSeen: instance.Config(), minRevision: minRevision}
}

// stopWatching stops checking the named instance. It must be called before the
// instance ends.
func (m *configMonitor) stopWatching(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.watched, name)
}

// takeFailures checks all watched instances once more, then returns the
// recorded failures and removes them.
func (m *configMonitor) takeFailures() []Failure {
	m.checkAll()
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.failures
	m.failures = nil
	return out
}

func (m *configMonitor) checkAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, watched := range m.watched {
		for _, problem := range watched.check() {
			m.failures = append(m.failures, Failure{Configuration, name + ": " + problem})
		}
	}
}

// check compares the instance's configuration with minRevision and with the
// configuration at the previous check. It describes everything that is too old
// or became older.
func (w *watchedInstance) check() []string {
	ready := w.instance.Ready()
	current := w.instance.Config()
	var problems []string
	if ready && current.Revision < w.minRevision {
		problems = append(problems, fmt.Sprintf("ready at revision %d, but the instances it could reach were at %d or later before it started", current.Revision, w.minRevision))
		w.minRevision = 0
	}
	if current == w.lastSeen {
		return problems
	}
	if current.Revision < w.lastSeen.Revision {
		problems = append(problems, fmt.Sprintf("revision decreased from %d to %d", w.lastSeen.Revision, current.Revision))
	}
	problems = append(problems, regressedEntries(w.lastSeen.Classes, current.Classes)...)
	problems = append(problems, regressedEntries(w.lastSeen.Organisations, current.Organisations)...)
	problems = append(problems, regressedEntries(w.lastSeen.Routes, current.Routes)...)
	problems = append(problems, regressedEntries(w.lastSeen.BackendServers, current.BackendServers)...)
	w.lastSeen = current
	return problems
}

// regressedEntries describes each old entry that is missing from the new
// entries or has a lower version there. No fault deletes a resource, so a
// missing entry is a failure.
func regressedEntries[S any](oldEntries, newEntries map[string]config.Entry[S]) []string {
	var problems []string
	for name, previous := range oldEntries {
		entry, ok := newEntries[name]
		switch {
		case !ok:
			problems = append(problems, name+" is missing")
		case entry.SpecVersion < previous.SpecVersion:
			problems = append(problems, fmt.Sprintf("%s went back from version %d to %d", name, previous.SpecVersion, entry.SpecVersion))
		}
	}
	return problems
}
