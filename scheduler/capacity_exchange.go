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
	// pressureInterval is the time between two questions about a pressed pool.
	pressureInterval = 400 * time.Millisecond
	// pressureTimeout bounds the wait for the answer.
	pressureTimeout = 300 * time.Millisecond
	// pressedShare is the part of a pool's slots under which it is pressed.
	pressedShare = 0.25
)

// askPressures asks the schedulers of the same models in other data centres for
// free slots while a pool of this instance has few. At rest nothing is sent.
func (r *Remote) askPressures() {
	ticker := time.NewTicker(pressureInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-r.ctx.Done():
			return
		}
		for to, question := range r.pressed() {
			r.start(func() { r.askPressure(to, question) })
		}
	}
}

func (r *Remote) askPressure(to netip.AddrPort, question pressureQuestion) {
	ctx, cancel := context.WithTimeout(r.ctx, pressureTimeout)
	defer cancel()
	answer, err := peer.Call[pressureQuestion, pressureAnswer](ctx, r.opts.Transport, to, peer.KindFreeCapacity, question)
	if err != nil {
		return // asked again after the interval
	}
	for _, p := range answer.Pools {
		if !slices.Contains(question.Models, p.Model) {
			continue
		}
		r.opts.Local.Observe(p.Model, func(in *schedcore.Input) {
			in.FreeCapacities = append(in.FreeCapacities, p.Pressure)
		})
	}
}

// pressed returns the questions about the pools that this instance schedules,
// by the instance that they go to.
func (r *Remote) pressed() map[netip.AddrPort]pressureQuestion {
	out := make(map[netip.AddrPort]pressureQuestion)
	pools := r.opts.Local.FreeCapacities()
	r.mu.Lock()
	defer r.mu.Unlock()
	own := r.view.Self.DataCentre
	for model, p := range pools {
		if float64(p.Free) > pressedShare*float64(p.Slots) || !r.schedules(model) {
			continue
		}
		for _, dataCentre := range r.view.DataCentres() {
			to := r.first(rendezvous.Pool{Model: model, DataCentre: dataCentre})
			if dataCentre == own || !to.IsValid() || !r.view.Reachable(dataCentre) {
				continue
			}
			out[to] = pressureQuestion{Models: append(out[to].Models, model)}
		}
	}
	return out
}

// schedules reports whether the view gives this instance the model's pool.
func (r *Remote) schedules(model string) bool {
	return r.first(rendezvous.Pool{Model: model, DataCentre: r.view.Self.DataCentre}) == r.view.Self.Address
}

// servePressure answers with the free slots of the pools that this instance
// schedules.
func (r *Remote) servePressure(_ context.Context, _ netip.AddrPort, question pressureQuestion) (pressureAnswer, error) {
	pools := r.opts.Local.FreeCapacities()
	r.mu.Lock()
	defer r.mu.Unlock()
	var answer pressureAnswer
	for _, model := range question.Models {
		p, ok := pools[model]
		if !ok || p.Free <= 0 || !r.schedules(model) {
			continue
		}
		digest := p.FreeCapacity
		digest.DataCentre = r.view.Self.DataCentre
		answer.Pools = append(answer.Pools, modelPressure{Model: model, Pressure: digest})
	}
	return answer, nil
}

// first returns the address of a pool's scheduler by the view alone.
func (r *Remote) first(p rendezvous.Pool) netip.AddrPort {
	members := eligible(r.view.InDataCentre(p.DataCentre))
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
