package scheduler

import (
	"net/netip"

	"bergamotpin.example/bergamotpin/membership"
	"bergamotpin.example/bergamotpin/rendezvous"
)

// route returns the destination at which to schedule a session, or nil if this
// instance schedules the session. If the session was referred to another data
// centre and no instance is available there, the session returns to this
// instance's data centre. The caller holds mu.
func (r *Remote) route(s *remoteSession) *destination {
	p := rendezvous.Pool{Model: s.ticket.Model, DataCentre: s.dataCentre}
	if d, ok := r.routes[p]; ok {
		return d
	}
	d, ok := r.firstAvailable(p)
	if !ok && s.dataCentre != r.view.Self.DataCentre {
		s.dataCentre = r.view.Self.DataCentre
		return r.route(s)
	}
	r.routes[p] = d
	return d
}

// firstAvailable returns the first instance in the pool's rendezvous order that
// is not skipped, and true. If this instance comes first, firstAvailable
// returns nil and true. If all instances are skipped or the pool has no
// instance, it returns nil and false. The caller holds mu.
func (r *Remote) firstAvailable(p rendezvous.Pool) (*destination, bool) {
	members := eligibleMembers(r.view.InDataCentre(p.DataCentre))
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Name
	}
	for _, i := range rendezvous.Order(p, names) {
		to := members[i].Address
		if to == r.view.Self.Address {
			return nil, true
		}
		if d := r.destination(to); !d.skipped {
			return d, true
		}
	}
	return nil, false
}

// eligibleMembers returns the members that may schedule.
func eligibleMembers(members []membership.Member) []membership.Member {
	var out []membership.Member
	for _, m := range members {
		if m.Eligible() {
			out = append(out, m)
		}
	}
	return out
}

// destination returns the state kept for the instance at an address, and creates
// it on first use. The caller holds mu.
func (r *Remote) destination(to netip.AddrPort) *destination {
	d, ok := r.destinations[to]
	if !ok {
		d = newDestination(r, to)
		r.destinations[to] = d
		r.startLocked(d.run)
	}
	return d
}

// reroute moves every session whose scheduler changed. The caller holds mu.
func (r *Remote) reroute() {
	clear(r.routes)
	r.updateStandalone()
	for _, s := range r.sessions {
		if d := r.route(s); d != s.dest {
			s.moveTo(d)
		}
	}
}

// updateStandalone sets the slot divisor. This instance is standalone if all
// other instances of its data centre are gone or skipped. The other instances may
// still be scheduling for the same servers. A standalone instance therefore
// divides each server's slots by View.KnownCount, the number of live and
// recently died instances of its data centre. The caller holds mu.
func (r *Remote) updateStandalone() {
	standalone := r.view.Standalone() || r.allOthersSkipped()
	if standalone == r.standalone && !standalone {
		return
	}
	slotDivisor := 1
	if standalone {
		slotDivisor = max(r.view.KnownCount, 1)
	}
	if standalone != r.standalone {
		r.opts.Log.Warn("standalone mode changed; \"alone\" is the new mode, \"parts\" is the number by which each server's slots are divided", "alone", standalone, "parts", slotDivisor)
	}
	if standalone && !r.standalone {
		r.events.add(Standalone)
	}
	r.standalone = standalone
	r.opts.Local.SetSlotDivisor(slotDivisor)
}

func (r *Remote) allOthersSkipped() bool {
	others := 0
	for _, m := range eligibleMembers(r.view.InDataCentre(r.view.Self.DataCentre)) {
		if m.Address == r.view.Self.Address {
			continue
		}
		d, ok := r.destinations[m.Address]
		if !ok || !d.skipped {
			return false
		}
		others++
	}
	return others > 0
}
