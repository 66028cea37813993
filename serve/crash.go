package serve

import (
	"net/http"

	"bergamotpin.example/bergamotpin/config"
)

// Kill ends the instance as a crash would: nothing is announced, handed over or
// finished, and callers' connections break. Run returns once all goroutines of
// the instance have ended. Connections made by Options.Dial stay open, so the
// caller must close them.
func (i *Instance) Kill() { i.killOnce.Do(func() { close(i.killed) }) }

// crash closes the listeners and all connections immediately.
func (i *Instance) crash(callerServer *http.Server) {
	i.leaving.Store(true)
	_ = callerServer.Close()
	_ = i.transport.Close()
	i.openRequests.closeAndWait()
	i.proxy.WaitBackground()
}

// Config returns the configuration that is in force. The caller must not change
// it.
func (i *Instance) Config() *config.Snapshot { return i.store.Snapshot() }

// Ready reports whether the instance accepts requests.
func (i *Instance) Ready() bool { return i.ready() }
