package serve

import (
	"context"
	"net/netip"
	"time"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/membership"
)

const (
	// registerInterval is the time between two entries in the platform's list
	// of instances.
	registerInterval = 20 * time.Second
	// announceTimeout bounds the announcement of a leave.
	announceTimeout = 2 * time.Second
)

// register keeps this instance in the platform's list until ctx ends. The list
// is a hint for others: a failed call is made again at the next interval.
func (i *Instance) register(ctx context.Context) {
	ticker := time.NewTicker(registerInterval)
	defer ticker.Stop()
	for {
		_ = i.objects.Register(ctx, i.listed(api.InstanceLive))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (i *Instance) listed(state api.InstanceState) api.ListedInstance {
	return api.ListedInstance{
		Name:       i.opts.Settings.Instance.Name,
		Address:    i.PeerAddress().String(),
		DataCentre: i.opts.Settings.Instance.DataCentre,
		State:      state,
	}
}

// followLeavers tells the drain reporter of instances that ended as announced,
// so that it does not wait for their counts.
func (i *Instance) followLeavers(ctx context.Context) {
	leaving := make(map[netip.AddrPort]bool)
	for {
		changed := i.members.Changed()
		view := i.members.View()
		for address := range leaving {
			if _, present := view.Find(address); !present {
				i.drains.InstanceLeft(address)
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

// trackReadiness tells the other instances whether this one may hold duties.
func (i *Instance) trackReadiness(ctx context.Context) {
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

// announceLeave tells peers and the platform. Both are best effort: an instance
// that goes silent is found out by its missing heartbeats.
func (i *Instance) announceLeave() {
	i.members.SetReady(false)
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	if err := i.members.Leave(ctx); err != nil {
		i.log.Warn("the leave was not announced", "error", err)
	}
	_ = i.objects.Register(ctx, i.listed(api.InstanceLeaving))
}
