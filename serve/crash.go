package serve

import (
	"net/http"

	"bergamotpin.example/bergamotpin/config"
)

// Kill ends the instance as a crash does: nothing is announced, handed over or
// finished, and callers' connections break. Run returns once the goroutines
// ended. Connections that were made by Options.Dial are the caller's to break.
func (i *Instance) Kill() { i.killOnce.Do(func() { close(i.killed) }) }

// crash drops the listeners and all connections at once.
func (i *Instance) crash(callers *http.Server) {
	i.leaving.Store(true)
	_ = callers.Close()
	_ = i.transport.Close()
	i.open.wait()
	i.proxy.Wait()
}

// Config returns the configuration in force. The caller must not change it.
func (i *Instance) Config() *config.Snapshot { return i.store.Snapshot() }

// Ready reports whether the instance takes requests.
func (i *Instance) Ready() bool { return i.ready() }
