package serve

import (
	"context"
	"net/netip"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/config"
	"bergamotpin.example/bergamotpin/membership"
	"bergamotpin.example/bergamotpin/rendezvous"
)

// Duties that instances have besides scheduling pools. Like the pools, they are
// assigned by rendezvous hashing.
const (
	dutyWatch  = "duty/watch"  // watch the configuration at the platform
	dutyReport = "duty/report" // write status to the platform and remove old idempotency keys
	dutyOrders = "duty/orders" // send orders to the engines of a data centre
)

// watcherCount is the number of instances of a data centre that watch the
// platform.
const watcherCount = 2

// allDataCentres is the data centre to pass to hasDuty for a duty whose holder
// is chosen among the instances of all data centres.
const allDataCentres = ""

// hasDuty reports whether this instance holds a duty. The first instances in
// rendezvous order hold it; the argument count is their number. The order
// covers this instance and the other eligible members of its view. While the
// views of instances differ, more instances may hold the duty.
func (i *Instance) hasDuty(duty, dataCentre string, count int) bool {
	view := i.members.View()
	members := view.Members
	if dataCentre != allDataCentres {
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

func (i *Instance) shouldWatchPlatform() bool {
	return i.hasDuty(dutyWatch, i.opts.Settings.Instance.DataCentre, watcherCount)
}

func (i *Instance) shouldReport() bool { return i.hasDuty(dutyReport, allDataCentres, 1) }

// shouldSendOrders reports whether this instance sends orders to the engines of
// its data centre.
func (i *Instance) shouldSendOrders() bool {
	return !i.leaving.Load() && i.hasDuty(dutyOrders, i.opts.Settings.Instance.DataCentre, 1)
}

// otherMembers returns all members except this instance.
func (i *Instance) otherMembers() []membership.Member {
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
	for _, m := range i.otherMembers() {
		out = append(out, config.Peer{Address: m.Address, DataCentre: m.DataCentre})
	}
	return out
}

func (i *Instance) peerAddresses() []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range i.otherMembers() {
		out = append(out, m.Address)
	}
	return out
}

// ListInstances returns the platform's list of instances. It implements
// membership.InstanceLister.
func (i *Instance) ListInstances(ctx context.Context) ([]api.ListedInstance, error) {
	return i.objects.Instances(ctx)
}
