package serve

import (
	"context"
	"net/netip"
	"time"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/membership"
)

const (
	// registerInterval is the time between two updates of this instance's entry
	// in the platform's list of instances.
	registerInterval = 20 * time.Second
	// announceTimeout limits the duration of announceLeave.
	announceTimeout = 2 * time.Second
)

// register keeps this instance's entry in the platform's list current until ctx
// ends. A failed call is repeated only at the next interval, since other
// instances need the list only to find addresses to contact.
func (i *Instance) register(ctx context.Context) {
	ticker := time.NewTicker(registerInterval)
	defer ticker.Stop()
	for {
		_ = i.objects.Register(ctx, i.listEntry(api.InstanceLive))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// listEntry returns this instance's entry in the platform's list.
func (i *Instance) listEntry(state api.InstanceState) api.ListedInstance {
	return api.ListedInstance{
		Name:       i.opts.Settings.Instance.Name,
		Address:    i.PeerAddress().String(),
		DataCentre: i.opts.Settings.Instance.DataCentre,
		State:      state,
	}
}

// reportLeftInstances tells the drain reporter which instances stopped after
// they had announced a leave. The reporter then does not wait for request
// counts from these instances.
func (i *Instance) reportLeftInstances(ctx context.Context) {
	leaving := make(map[netip.AddrPort]bool)
	for {
		changed := i.members.Changed()
		view := i.members.View()
		for address := range leaving {
			if _, present := view.Find(address); !present {
				i.drainReporter.InstanceLeft(address)
				delete(leaving, address)
			}
		}
		for _, m := range view.Members {
			leaving[m.Address] = m.State == membership.Leaving
			if !leaving[m.Address] {
				delete(leaving, m.Address)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// publishReadiness tells the other instances whether this instance may be given
// duties. It checks at each configuration change and once a second.
func (i *Instance) publishReadiness(ctx context.Context) {
	for {
		changed := i.store.Changed()
		i.members.SetReady(i.ready())
		select {
		case <-changed:
		case <-time.After(time.Second):
		case <-ctx.Done():
			return
		}
	}
}

// announceLeave announces the leave to peers and to the platform. A failed
// announcement is not repeated, since the other instances also notice missing
// heartbeats.
func (i *Instance) announceLeave() {
	i.members.SetReady(false)
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	if err := i.members.Leave(ctx); err != nil {
		i.log.Warn("could not announce the leave to other instances", "error", err)
	}
	_ = i.objects.Register(ctx, i.listEntry(api.InstanceLeaving))
}
