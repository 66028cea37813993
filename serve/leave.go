package serve

import (
	"net"
	"net/http"
	"time"

	"bergamotpin.example/bergamotpin/callerconn"
)

const (
	// leavePollInterval is how often a leaving instance checks for open connections.
	leavePollInterval = 10 * time.Millisecond
	// operatorDrainTimeout bounds the wait for operators' open requests.
	operatorDrainTimeout = time.Second
)

// shutDown leaves gracefully unless the instance was killed.
func (i *Instance) shutDown(callerServer *http.Server) {
	select {
	case <-i.killed:
		i.crash(callerServer)
	default:
		i.leave(callerServer)
	}
}

// leave refuses new requests and announces the leave. It then waits until the
// open requests have ended, at most for the drain timeout.
func (i *Instance) leave(callerServer *http.Server) {
	i.leaving.Store(true)
	i.log.Info("leaving")
	i.announceLeave()
	i.endCallerConnections()
	_ = callerServer.Close()
	i.endOperatorConnections()
	i.openRequests.closeAndWait()
	i.proxy.WaitBackground()
}

// endCallerConnections ends the callers' connections, in at most the drain timeout.
func (i *Instance) endCallerConnections() {
	if !endConnections(i.callerListener, i.callerConnections, i.opts.Settings.Limits.DrainTimeout.Std()) {
		i.log.Warn("drain timeout passed; open requests were aborted", "requests", i.callerConnections.OpenRequests())
	}
}

// endOperatorConnections ends the operators' connections. Watches don't end by themselves, so
// it waits only for a short time.
func (i *Instance) endOperatorConnections() {
	if !endConnections(i.operatorListener, i.operatorConnections, operatorDrainTimeout) {
		i.log.Info("operators' open requests were aborted", "requests", i.operatorConnections.OpenRequests())
	}
}

// endConnections accepts no further connection and waits until the open ones have ended. It
// returns false if the timeout passes first.
func endConnections(l net.Listener, connections *callerconn.Tracker, timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	_ = l.Close()
	connections.CloseWhenIdle()
	connections.CloseUnused()
	for !connections.Drained() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(leavePollInterval)
	}
	return true
}
