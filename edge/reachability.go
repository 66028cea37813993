package edge

import (
	"math"

	"bergamotpin.example/bergamotpin/edge/backendclient"
	"bergamotpin.example/bergamotpin/edge/reachability"
	"bergamotpin.example/bergamotpin/edge/reverseproxy"
)

// probeConnections does not bound the connections to a server: a try to reach it must not fail
// because requests use this instance's share of them.
const probeConnections = math.MaxInt

// watchReachability creates the monitor of this instance's paths to servers, and has the client
// tell it of new connections.
func (i *Instance) watchReachability() {
	i.reach = reachability.New(reachability.Options{
		Servers: i.probedServers, Connect: i.client.Connects,
		OnChange: func() { i.gossip.SendNow() }, Log: i.log.StateChanges,
	})
	i.client.OnConnected, i.client.OnSuspect = i.reach.Connected, i.reach.Suspect
}

// probedServers returns the servers that have entries and don't leave.
func (i *Instance) probedServers() []backendclient.Server {
	var servers []backendclient.Server
	for _, s := range i.catalog.Snapshot().Servers {
		if !s.Leaving && !s.EntryMissing {
			servers = append(servers, backendclient.Server{Key: reverseproxy.ServerKey(s), Address: s.Address, MaxConnections: probeConnections})
		}
	}
	return servers
}

// boolGauge returns a gauge's value for a condition.
func boolGauge(is bool) int64 {
	if is {
		return 1
	}
	return 0
}
