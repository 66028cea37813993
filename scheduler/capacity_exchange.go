package scheduler

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"bergamotpin.example/bergamotpin/peer"
	"bergamotpin.example/bergamotpin/rendezvous"
	"bergamotpin.example/bergamotpin/schedcore"
)

const (
	// freeCapacityInterval is the time between two requests for the free capacity
	// of other data centres, while a pool is short of free slots.
	freeCapacityInterval = 400 * time.Millisecond
	// freeCapacityTimeout bounds the wait for the response to a request for free
	// capacity.
	freeCapacityTimeout = 300 * time.Millisecond
	// lowCapacityShare is a fraction of a pool's slots. A pool is short of free
	// slots if at most this fraction of its slots is free.
	lowCapacityShare = 0.25
)

// pollFreeCapacity periodically asks the schedulers of other data centres for
// their free capacity. It asks only about models whose pool is scheduled by this
// instance and is short of free slots.
func (r *Remote) pollFreeCapacity() {
	ticker := time.NewTicker(freeCapacityInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-r.ctx.Done():
			return
		}
		for to, request := range r.lowCapacityRequests() {
			r.start(func() { r.requestFreeCapacity(to, request) })
		}
	}
}

func (r *Remote) requestFreeCapacity(to netip.AddrPort, request freeCapacityRequest) {
	ctx, cancel := context.WithTimeout(r.ctx, freeCapacityTimeout)
	defer cancel()
	response, err := peer.Call[freeCapacityRequest, freeCapacityResponse](ctx, r.opts.Transport, to, peer.KindFreeCapacity, request)
	if err != nil {
		return // pollFreeCapacity sends the request again after freeCapacityInterval
	}
	for _, p := range response.Pools {
		if !slices.Contains(request.Models, p.Model) {
			continue
		}
		r.opts.Local.Observe(p.Model, func(in *schedcore.Input) {
			in.FreeCapacities = append(in.FreeCapacities, p.FreeCapacity)
		})
	}
}

// lowCapacityRequests returns the requests to send, by the address of the
// recipient. They are about the pools that this instance schedules and that are
// short of free slots.
func (r *Remote) lowCapacityRequests() map[netip.AddrPort]freeCapacityRequest {
	out := make(map[netip.AddrPort]freeCapacityRequest)
	pools := r.opts.Local.FreeCapacities()
	r.mu.Lock()
	defer r.mu.Unlock()
	ownDataCentre := r.view.Self.DataCentre
	for model, p := range pools {
		if float64(p.Free) > lowCapacityShare*float64(p.Slots) || !r.isSchedulerOf(model) {
			continue
		}
		for _, dataCentre := range r.view.DataCentres() {
			to := r.schedulerAddress(rendezvous.Pool{Model: model, DataCentre: dataCentre})
			if dataCentre == ownDataCentre || !to.IsValid() || !r.view.Reachable(dataCentre) {
				continue
			}
			out[to] = freeCapacityRequest{Models: append(out[to].Models, model)}
		}
	}
	return out
}

// isSchedulerOf reports whether, according to the view, this instance is the
// scheduler of the model's pool in its data centre. The caller holds mu.
func (r *Remote) isSchedulerOf(model string) bool {
	return r.schedulerAddress(rendezvous.Pool{Model: model, DataCentre: r.view.Self.DataCentre}) == r.view.Self.Address
}

// serveFreeCapacity returns the free capacity of the requested pools that this
// instance schedules and that have free slots.
func (r *Remote) serveFreeCapacity(_ context.Context, _ netip.AddrPort, request freeCapacityRequest) (freeCapacityResponse, error) {
	pools := r.opts.Local.FreeCapacities()
	r.mu.Lock()
	defer r.mu.Unlock()
	var response freeCapacityResponse
	for _, model := range request.Models {
		p, ok := pools[model]
		if !ok || p.Free <= 0 || !r.isSchedulerOf(model) {
			continue
		}
		freeCapacity := p.FreeCapacity
		freeCapacity.DataCentre = r.view.Self.DataCentre
		response.Pools = append(response.Pools, modelFreeCapacity{Model: model, FreeCapacity: freeCapacity})
	}
	return response, nil
}

// schedulerAddress returns the address of a pool's scheduler according to the
// view alone, even if that instance is skipped after a failover. It returns the
// zero address if the pool's data centre has no eligible instance. The caller
// holds mu.
func (r *Remote) schedulerAddress(p rendezvous.Pool) netip.AddrPort {
	members := eligibleMembers(r.view.InDataCentre(p.DataCentre))
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Name
	}
	i := rendezvous.First(p, names)
	if i < 0 {
		return netip.AddrPort{}
	}
	return members[i].Address
}
