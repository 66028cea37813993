package instance

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/config"
	"bergamotpin.example/bergamotpin/drain"
	"bergamotpin.example/bergamotpin/idempotency"
	"bergamotpin.example/bergamotpin/lease"
	"bergamotpin.example/bergamotpin/membership"
	"bergamotpin.example/bergamotpin/objects"
	"bergamotpin.example/bergamotpin/orders"
	"bergamotpin.example/bergamotpin/placement"
	"bergamotpin.example/bergamotpin/settings"
)

// Duties that instances hold besides the pools. Each is placed like a pool.
const (
	dutyWatch  = "duty/watch"
	dutyReport = "duty/report"
	dutyOrders = "duty/orders"
)

const (
	// watchers is the number of instances of a data centre that watch the
	// platform.
	watchers = 2
	// registerInterval is the time between two entries in the platform's list
	// of instances.
	registerInterval = 20 * time.Second
)

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
	order := placement.Order(placement.Pool{Model: duty, DataCentre: dataCentre}, names)
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

// Hints lists instances from the platform, for the membership.
func (i *Instance) Hints(ctx context.Context) ([]api.ListedInstance, error) {
	return i.objects.Instances(ctx)
}

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
		Address:    i.Peers().String(),
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
				i.drains.Forget(address)
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

// assembleDuties builds the parts that work while this instance holds a duty.
func (i *Instance) assembleDuties() {
	s := i.opts.Settings
	local := drain.NewLocal(i.store.Snapshot, i.inFlight.Count)
	drain.Serve(i.transport, local)
	i.drains = drain.NewReporter(drain.Options{
		Transport: i.transport,
		Local:     local,
		Peers:     i.peerAddresses,
		Snapshot:  i.store.Snapshot,
		Status:    i.objects,
		Chosen:    i.reports,
	})
	i.sweeper = &idempotency.Sweeper{Claims: i.claims, Store: i.objects, Chosen: i.reports}
	i.reporter = config.NewReporter(i.agent.Sync(), i.objects, i.objects, i.reports)
	i.lease = lease.New(lease.Options{
		Store:  i.objects,
		Name:   "orders-" + s.Instance.DataCentre,
		Holder: i.holderName(),
	})
	i.orders = orders.New(orders.Options{
		Lease:   i.lease,
		Engine:  &orders.HTTPEngine{Client: objects.NewHTTPClient(i.opts.Dial)},
		Desired: func() []orders.Desired { return orders.FromSnapshot(i.store.Snapshot(), s.Instance.DataCentre) },
		Log:     i.log,
	})
}

// holderName names this process, and no other one at any time.
func (i *Instance) holderName() string {
	return fmt.Sprintf("%s/%d", i.opts.Settings.Instance.Name, i.members.View().Self.Incarnation)
}

// seedAddresses reads addresses that have passed the settings' check.
func seedAddresses(texts []string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, text := range texts {
		address, err := settings.ParseAddress(text)
		if err != nil {
			panic("checked seed does not parse: " + err.Error())
		}
		out = append(out, address)
	}
	return out
}
