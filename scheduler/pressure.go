package scheduler

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"time"

	"bergamotpin.example/bergamotpin/decision"
	"bergamotpin.example/bergamotpin/peer"
	"bergamotpin.example/bergamotpin/placement"
)

const (
	// pressureInterval is the time between two digests of a pool.
	pressureInterval = 400 * time.Millisecond
	// pressureTimeout bounds the wait for their acknowledgement.
	pressureTimeout = 300 * time.Millisecond
)

// sendPressures tells the schedulers of the same models in other data centres
// how many slots are free here. Pools without a free slot send nothing: their
// last digest expires.
func (r *Remote) sendPressures() {
	ticker := time.NewTicker(pressureInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-r.ctx.Done():
			return
		}
		for to, batch := range r.pressures() {
			r.start(func() { r.sendPressure(to, batch) })
		}
	}
}

func (r *Remote) sendPressure(to netip.AddrPort, batch pressureBatch) {
	ctx, cancel := context.WithTimeout(r.ctx, pressureTimeout)
	defer cancel()
	// A lost digest is replaced by the next one.
	_, _ = peer.Call[pressureBatch, pressureAnswer](ctx, r.opts.Transport, to, peer.KindPressure, batch)
}

// pressures returns the digests of the pools that this instance schedules, by
// the instance that they go to.
func (r *Remote) pressures() map[netip.AddrPort]pressureBatch {
	out := make(map[netip.AddrPort]pressureBatch)
	pools := r.opts.Pools.Pressures()
	r.mu.Lock()
	defer r.mu.Unlock()
	own := r.view.Self.DataCentre
	for model, p := range pools {
		if p.Free <= 0 || r.first(placement.Pool{Model: model, DataCentre: own}) != r.view.Self.Address {
			continue
		}
		p.DataCentre = own
		for _, dataCentre := range r.view.DataCentres() {
			to := r.first(placement.Pool{Model: model, DataCentre: dataCentre})
			if dataCentre == own || !to.IsValid() || !r.view.Reachable(dataCentre) {
				continue
			}
			out[to] = pressureBatch{Pools: append(out[to].Pools, modelPressure{Model: model, Pressure: p})}
		}
	}
	for _, batch := range out {
		slices.SortFunc(batch.Pools, func(a, b modelPressure) int { return strings.Compare(a.Model, b.Model) })
	}
	return out
}

// first returns the address of a pool's scheduler by the view alone.
func (r *Remote) first(p placement.Pool) netip.AddrPort {
	members := eligible(r.view.InDataCentre(p.DataCentre))
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Name
	}
	i := placement.First(p, names)
	if i < 0 {
		return netip.AddrPort{}
	}
	return members[i].Address
}

func (r *Remote) servePressure(_ context.Context, _ netip.AddrPort, batch pressureBatch) (pressureAnswer, error) {
	for _, p := range batch.Pools {
		r.opts.Pools.Observe(p.Model, func(in *decision.Input) {
			in.Pressures = append(in.Pressures, p.Pressure)
		})
	}
	return pressureAnswer{}, nil
}
