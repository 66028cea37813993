package scheduler

import (
	"net/netip"

	"bergamotpin.example/bergamotpin/membership"
	"bergamotpin.example/bergamotpin/rendezvous"
)

// route returns the destination of a session's tickets, nil for this instance.
// A session referred to a data centre in which nobody answers comes back. The
// caller holds mu.
func (r *Remote) route(s *remoteSession) *destination {
	p := rendezvous.Pool{Model: s.ticket.Model, DataCentre: s.dataCentre}
	if d, ok := r.routes[p]; ok {
		return d
	}
	d, ok := r.choose(p)
	if !ok && s.dataCentre != r.view.Self.DataCentre {
		s.dataCentre = r.view.Self.DataCentre
		return r.route(s)
	}
	r.routes[p] = d
	return d
}

// choose returns the first instance in the pool's order that is not passed
// over. It reports false if there is none.
func (r *Remote) choose(p rendezvous.Pool) (*destination, bool) {
	members := eligible(r.view.InDataCentre(p.DataCentre))
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Name
	}
	for _, i := range rendezvous.Order(p, names) {
		to := members[i].Address
		if to == r.view.Self.Address {
			return nil, true
		}
		if d := r.destination(to); !d.passedOver {
			return d, true
		}
	}
	return nil, false
}

func eligible(members []membership.Member) []membership.Member {
	var out []membership.Member
	for _, m := range members {
		if m.Eligible() {
			out = append(out, m)
		}
	}
	return out
}

// destination returns the tie to an instance. The caller holds mu.
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
	r.noteAlone()
	for _, s := range r.sessions {
		if d := r.route(s); d != s.dest {
			s.move(d)
		}
	}
}

// noteAlone sets the share of the servers' slots. An instance is alone if all
// others of its data centre are gone or passed over.
func (r *Remote) noteAlone() {
	alone := r.view.Alone() || r.othersPassedOver()
	if alone == r.alone && !alone {
		return
	}
	parts := 1
	if alone {
		parts = max(r.view.Known, 1)
	}
	if alone != r.alone {
		r.opts.Log.Warn("scheduling alone changed", "alone", alone, "parts", parts)
	}
	if alone && !r.alone {
		r.events.add(Standalone)
	}
	r.alone = alone
	r.opts.Local.SetSlotDivisor(parts)
}

func (r *Remote) othersPassedOver() bool {
	others := 0
	for _, m := range eligible(r.view.InDataCentre(r.view.Self.DataCentre)) {
		if m.Address == r.view.Self.Address {
			continue
		}
		d, ok := r.destinations[m.Address]
		if !ok || !d.passedOver {
			return false
		}
		others++
	}
	return others > 0
}
