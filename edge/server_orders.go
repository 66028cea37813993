package edge

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/edge/autoscale"
	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/edge/duty"
	"bergamotpin.example/bergamotpin/metrics"
	"bergamotpin.example/bergamotpin/platform"
)

// orderInterval is the time between two looks at what services need.
const orderInterval = time.Second

// serverOrders orders the servers of the services that have autoscale. Every instance observes, so
// that a new holder of the duties knows the last period. Only the holder orders.
type serverOrders struct {
	instance *Instance

	mu sync.Mutex
	// planners holds the planner of each service, by name.
	planners map[string]*autoscale.Planner
	// outcomes counts the orders by what became of them.
	outcomes map[autoscale.Outcome]int64
}

// newServerOrders returns nil if the deployment doesn't ask for such orders.
func (i *Instance) newServerOrders(s platform.Settings) *serverOrders {
	if s.Duties == nil || !s.Duties.Scale {
		return nil
	}
	return &serverOrders{instance: i, planners: make(map[string]*autoscale.Planner), outcomes: make(map[autoscale.Outcome]int64)}
}

// run observes, and orders while this instance holds the duties, until ctx ends.
func (o *serverOrders) run(ctx context.Context) {
	if o == nil {
		return
	}
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, service := range o.observe(time.Now()) {
			if term, held := o.instance.duties.holder.Term(time.Now()); held {
				o.order(ctx, service, term)
			}
		}
	}
}

// observe has the planners observe the services, and returns the names of these.
func (o *serverOrders) observe(now time.Time) []string {
	snapshot := o.instance.catalog.Snapshot()
	services := snapshot.ScalableServices()
	o.mu.Lock()
	defer o.mu.Unlock()
	observed := make(map[string]*autoscale.Planner, len(services))
	var names []string
	for _, service := range services {
		planner, ok := o.planners[service.Name]
		if !ok {
			planner = autoscale.New()
		}
		planner.Observe(o.instance.observationOf(service, snapshot, now), now)
		observed[service.Name] = planner
		names = append(names, service.Name)
	}
	o.planners = observed
	return names
}

// observationOf returns what this instance knows of a service.
func (i *Instance) observationOf(service catalog.Service, snapshot *catalog.Snapshot, now time.Time) autoscale.Observation {
	out := autoscale.Observation{Service: service}
	var keys []uint64
	for _, server := range snapshot.ServersOf(service.Name) {
		if server.EntryMissing {
			continue
		}
		key := balancer.ServerKey(server)
		keys = append(keys, key)
		out.Replicas = append(out.Replicas, autoscale.Replica{
			Group:   autoscale.Group{DataCentre: server.DataCentre, Reclaimable: server.Reclaimable},
			Leaving: server.Leaving || i.states.Availability(key, now).Leaving,
		})
	}
	demand := i.selector.ServiceDemand(service.Name, keys, now)
	for n, delivers := range demand.Delivers {
		out.Replicas[n].Delivers = delivers
	}
	out.Demand = autoscale.Demand{
		Running: float64(demand.Load.Running), MemoryTokens: float64(demand.Load.MemoryTokens),
		PrefillPerSecond: demand.PrefillPerSecond, PrefillRunning: float64(demand.PrefillRunning),
	}
	for _, k := range demand.Kinds {
		out.Demand.Kinds = append(out.Demand.Kinds, autoscale.Kind(k))
	}
	live, known := i.gossip.CountInstances()
	out.View = autoscale.View{CatalogAge: i.gossip.ConfigurationAge(now), Live: live, Known: known, CutOff: i.reach.CutOff()}
	return out
}

// order sends the orders that a service's planner makes now. If an order's fate is uncertain, the
// rest waits for the next look.
func (o *serverOrders) order(ctx context.Context, service string, term duty.Term) {
	for _, order := range o.plan(service, term, time.Now()) {
		outcome := o.send(ctx, service, order)
		o.mu.Lock()
		o.outcomes[outcome]++
		if planner, ok := o.planners[service]; ok {
			planner.Record(order, outcome, time.Now())
		}
		o.mu.Unlock()
		if outcome == autoscale.Uncertain || outcome == autoscale.NotTaken {
			return
		}
	}
}

func (o *serverOrders) plan(service string, term duty.Term, now time.Time) []autoscale.Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	planner, ok := o.planners[service]
	if !ok {
		return nil
	}
	return planner.Plan(term.HeldSince, now)
}

// send makes the call of an order and logs it.
func (o *serverOrders) send(ctx context.Context, service string, order autoscale.Order) autoscale.Outcome {
	var token int64
	err := o.instance.duties.guard.Do(ctx, service+"/"+order.DataCentre, func(ctx context.Context, c platform.DutyCall) error {
		token = c.FencingToken
		return o.instance.duties.api.OrderServers(ctx, c, platform.ServerOrder{
			Service: service, DataCentre: order.DataCentre, Count: order.Desired, Reclaimable: order.Reclaimable,
		})
	})
	outcome := orderOutcome(err)
	o.logOrder(service, order, outcome, token, err)
	return outcome
}

// orderOutcome says what an error of a call means.
func orderOutcome(err error) autoscale.Outcome {
	switch {
	case err == nil:
		return autoscale.Accepted
	case errors.Is(err, platform.ErrNoneAvailable), errors.Is(err, platform.ErrDutyRefused):
		return autoscale.NoneAvailable
	case errors.Is(err, platform.ErrDutyRateLimited), errors.Is(err, duty.ErrNotHolder), errors.Is(err, duty.ErrTermEnds):
		return autoscale.NotTaken
	default:
		return autoscale.Uncertain
	}
}

// logOrder writes why an order was made and what became of it.
func (o *serverOrders) logOrder(service string, order autoscale.Order, outcome autoscale.Outcome, token int64, err error) {
	o.mu.Lock()
	status := o.planners[service].Status(time.Now())
	o.mu.Unlock()
	text := ""
	if err != nil {
		text = err.Error()
	}
	o.instance.log.StateChanges.Info("servers ordered", "service", service, "data_centre", order.DataCentre, "reclaimable", order.Reclaimable,
		"count", order.Desired, "ready", order.Ready, "expected", order.Expected, "reason", string(order.Reason),
		"outcome", outcome.String(), "fencing_token", token, "error", text,
		"need", status.Need, "peak_need", status.Peak, "urgent_need", status.Urgent, "load", status.Load, "speed", status.Speed, "utilisation", status.Utilisation, "late", status.Late,
		"ready_all", status.Ready, "expected_all", status.Expected, "cost_per_s", status.Cost,
		"catalog_age_ms", status.View.CatalogAge.Milliseconds(), "live", status.View.Live, "known", status.View.Known)
}

// readings returns what services need and how many orders were made.
func (o *serverOrders) readings(now time.Time) []metrics.Reading {
	if o == nil {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []metrics.Reading
	for outcome, n := range o.outcomes {
		out = append(out, metrics.CounterReading("server_orders", "outcome", outcome.String(), n))
	}
	for service, planner := range o.planners {
		status := planner.Status(now)
		out = append(out,
			metrics.GaugeReading("servers_needed", "service", service, int64(status.Need+0.5)),
			metrics.GaugeReading("servers_ready", "service", service, int64(status.Ready)),
			metrics.GaugeReading("servers_expected", "service", service, int64(status.Expected)),
			metrics.GaugeReading("servers_late_callers", "service", service, boolGauge(status.Late)),
		)
	}
	return out
}
