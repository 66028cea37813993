package serve

import (
	"context"
	"net/netip"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/config"
	"bergamotpin.example/bergamotpin/membership"
	"bergamotpin.example/bergamotpin/rendezvous"
)

// Duties that instances hold besides the pools. Each is placed like a pool.
const (
	dutyWatch  = "duty/watch"
	dutyReport = "duty/report"
	dutyOrders = "duty/orders"
)

// watchers is the number of instances of a data centre that watch the platform.
const watchers = 2

// everywhere is the data centre of a duty that one instance of all holds.
const everywhere = ""

// holds reports whether this instance is among the first count that hold the
// duty, by its own view. Instances with other views may think so too.
func (i *Instance) holds(duty, dataCentre string, count int) bool {
	view := i.members.View()
	members := view.Members
	if dataCentre != everywhere {
		members = view.InDataCentre(dataCentre)
	}
	var names []string
	for _, m := range members {
		if m.Eligible() || m.Name == view.Self.Name {
			names = append(names, m.Name)
		}
	}
	order := rendezvous.Order(rendezvous.Pool{Model: duty, DataCentre: dataCentre}, names)
	for _, n := range order[:min(count, len(order))] {
		if names[n] == view.Self.Name {
			return true
		}
	}
	return false
}

func (i *Instance) watchesPlatform() bool {
	return i.holds(dutyWatch, i.opts.Settings.Instance.DataCentre, watchers)
}

func (i *Instance) reports() bool { return i.holds(dutyReport, everywhere, 1) }

func (i *Instance) wantsOrders() bool {
	return !i.leaving.Load() && i.holds(dutyOrders, i.opts.Settings.Instance.DataCentre, 1)
}

// others returns the members other than this instance.
func (i *Instance) others() []membership.Member {
	view := i.members.View()
	var out []membership.Member
	for _, m := range view.Members {
		if m.Address != view.Self.Address {
			out = append(out, m)
		}
	}
	return out
}

func (i *Instance) configPeers() []config.Peer {
	var out []config.Peer
	for _, m := range i.others() {
		out = append(out, config.Peer{Address: m.Address, DataCentre: m.DataCentre})
	}
	return out
}

func (i *Instance) peerAddresses() []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range i.others() {
		out = append(out, m.Address)
	}
	return out
}

// ListInstances lists instances from the platform, for the membership.
func (i *Instance) ListInstances(ctx context.Context) ([]api.ListedInstance, error) {
	return i.objects.Instances(ctx)
}
