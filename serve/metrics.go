package serve

import (
	"bergamotpin.example/bergamotpin/metrics"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/peer"
	"bergamotpin.example/bergamotpin/schedcore"
)

// readings returns the current values of the counters that the components keep.
// The metrics collector calls it.
func (i *Instance) readings() []metrics.Reading {
	var out []metrics.Reading
	out = append(out, i.configReadings()...)
	out = append(out, i.platformReadings()...)
	out = append(out, i.claimReadings()...)
	out = append(out, i.orderReadings()...)
	out = append(out, i.peerReadings()...)
	out = append(out, i.poolReadings()...)
	for event, count := range i.remoteScheduler.Counters() {
		out = append(out, metrics.CounterReading("scheduler_events", "event", event.String(), int64(count)))
	}
	for event, count := range i.members.Counters() {
		out = append(out, metrics.CounterReading("membership_events", "event", event.String(), int64(count)))
	}
	return out
}

func (i *Instance) configReadings() []metrics.Reading {
	c := &i.store.Counters
	return []metrics.Reading{
		metrics.CounterReading("config_changes", "result", "accepted", c.Accepted.Load()),
		metrics.CounterReading("config_changes", "result", "rejected", c.Rejected.Load()),
		metrics.CounterReading("config_changes", "result", "deleted", c.Deleted.Load()),
		metrics.CounterReading("config_changes", "result", "stale", c.StaleVersions.Load()),
		metrics.CounterReading("config_status_writes", "", "", i.configReporter.Writes.Load()),
	}
}

func (i *Instance) platformReadings() []metrics.Reading {
	c := &i.objects.Counters
	return []metrics.Reading{
		metrics.CounterReading("platform_calls", "", "", c.Calls.Load()),
		metrics.CounterReading("platform_watches", "", "", c.Watches.Load()),
		metrics.CounterReading("platform_failures", "reason", "conflict", c.Conflicts.Load()),
		metrics.CounterReading("platform_failures", "reason", "rate_limited", c.RateLimited.Load()),
		metrics.CounterReading("platform_failures", "reason", "unavailable", c.Unavailable.Load()),
		metrics.CounterReading("platform_failures", "reason", "uncertain", c.Uncertain.Load()),
	}
}

func (i *Instance) claimReadings() []metrics.Reading {
	c := &i.claims.Counters
	return []metrics.Reading{
		metrics.CounterReading("key_claims", "result", "fresh", c.Fresh.Load()),
		metrics.CounterReading("key_claims", "result", "in_progress", c.InProgress.Load()),
		metrics.CounterReading("key_claims", "result", "completed", c.Completed.Load()),
		metrics.CounterReading("key_claims", "result", "unknown", c.Unknown.Load()),
		metrics.CounterReading("key_claims", "result", "conflict", c.Conflicts.Load()),
		metrics.CounterReading("key_claims", "result", "unavailable", c.Unavailable.Load()),
		metrics.CounterReading("key_outcomes", "result", "kept", c.Finished.Load()),
		metrics.CounterReading("key_outcomes", "result", "not_kept", c.FinishFailed.Load()),
		metrics.CounterReading("key_outcomes", "result", "released", c.Released.Load()),
	}
}

func (i *Instance) orderReadings() []metrics.Reading {
	l := &i.ordersLease.Counters
	o := &i.orderController.Counters
	return []metrics.Reading{
		metrics.CounterReading("lease_events", "event", "taken", l.Acquired.Load()),
		metrics.CounterReading("lease_events", "event", "renewed", l.Renewed.Load()),
		metrics.CounterReading("lease_events", "event", "unanswered", l.Unanswered.Load()),
		metrics.CounterReading("lease_events", "event", "lost", l.Ended.Load()),
		metrics.CounterReading("orders", "result", "given", o.Orders.Load()),
		metrics.CounterReading("orders", "result", "failed", o.Failed.Load()),
		metrics.CounterReading("orders", "result", "superseded", o.Superseded.Load()),
		metrics.CounterReading("orders", "result", "late", o.LateOrders.Load()),
		metrics.CounterReading("orders", "result", "settling", o.HeldBack.Load()),
	}
}

// countingTransport is implemented by transports that count their messages.
type countingTransport interface{ Counters() peer.Counts }

func (i *Instance) peerReadings() []metrics.Reading {
	t, ok := i.transport.(countingTransport)
	if !ok {
		return nil
	}
	counts := t.Counters()
	var out []metrics.Reading
	for kind, traffic := range counts.Sent {
		out = append(out,
			metrics.CounterReading("peer_messages_sent", "kind", kind.String(), int64(traffic.Messages)),
			metrics.CounterReading("peer_bytes_sent", "kind", kind.String(), int64(traffic.Bytes)))
	}
	for kind, traffic := range counts.Received {
		out = append(out,
			metrics.CounterReading("peer_messages_received", "kind", kind.String(), int64(traffic.Messages)),
			metrics.CounterReading("peer_bytes_received", "kind", kind.String(), int64(traffic.Bytes)))
	}
	for refusal, n := range counts.Refused {
		out = append(out, metrics.CounterReading("peer_refusals", "reason", refusal.String(), int64(n)))
	}
	return out
}

// poolReadings returns the decision counters of the pools that this instance
// schedules or has scheduled.
func (i *Instance) poolReadings() []metrics.Reading {
	var out []metrics.Reading
	for model, s := range i.localScheduler.Stats() {
		out = append(out,
			metrics.CounterReading("pool_tickets", "model", model, int64(s.Tickets)),
			metrics.CounterReading("pool_grants", "model", model, int64(s.Grants)),
			metrics.CounterReading("pool_preemptions", "model", model, int64(s.Preemptions)),
			metrics.CounterReading("pool_referrals", "model", model, int64(s.Referrals)),
			metrics.CounterReading("pool_servers_set_aside", "model", model, int64(s.Ejections)))
		out = append(out, reasonReadings("pool_refusals", model, s.Refusals)...)
		out = append(out, reasonReadings("pool_retries", model, s.Retries)...)
	}
	return out
}

// reasonReadings returns one pool's counters by reason. Counters that are zero
// are left out.
func reasonReadings(name, model string, counts schedcore.ReasonCounts) []metrics.Reading {
	var out []metrics.Reading
	for _, r := range outcome.Reasons() {
		if counts.Of(r) == 0 {
			continue
		}
		tags := [2]metrics.Tag{{Label: "model", Value: model}, {Label: "reason", Value: r.String()}}
		out = append(out, metrics.Reading{Name: name, Tags: tags, Value: int64(counts.Of(r))})
	}
	return out
}
