package autoscale

import (
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
)

// Group is the replicas of one kind in one data centre.
type Group struct {
	DataCentre string
	// Reclaimable is set if the platform may take the replicas back at any time.
	Reclaimable bool
}

// Replica is one replica that has an entry.
type Replica struct {
	Group
	// Leaving is set once the replica has announced that it leaves.
	Leaving bool
	// Delivers is what the replica gets done compared with one of ordinary speed, as learnt
	// from its responses.
	Delivers float64
}

// Kind is what callers ask in one urgency.
type Kind struct {
	catalog.Urgency
	// PerSecond is the rate of requests, and LateShare the part of them that is expected to miss
	// the latency target because of queues.
	PerSecond, LateShare float64
}

// Demand is what callers ask of the service.
type Demand struct {
	// Running counts the requests that replicas run. MemoryTokens sums the tokens that they
	// occupy.
	Running, MemoryTokens float64
	// PrefillPerSecond is the rate of prompt tokens that replicas have to read, without those in
	// caches, for the requests of some of the instances. PrefillRunning counts the running
	// requests of the same instances.
	PrefillPerSecond, PrefillRunning float64
	// Kinds describes the requests of some of the instances.
	Kinds []Kind
}

// View is how well this instance knows the fleet.
type View struct {
	// CatalogAge is how long ago the metadata store confirmed the catalog.
	CatalogAge time.Duration
	// Live counts the instances from which messages arrive. Known also counts those that have
	// fallen silent.
	Live, Known int
	// CutOff is set if this instance reaches no server.
	CutOff bool
}

// Observation is what an instance knows at one moment.
type Observation struct {
	Service  catalog.Service
	Replicas []Replica
	Demand   Demand
	View     View
}

// Reason says why an order was made.
type Reason string

// Reasons of orders.
const (
	// ReasonCapacity means that callers would wait with the replicas that are there.
	ReasonCapacity Reason = "capacity"
	// ReasonReserve means that callers would wait after the loss of a data centre, or after
	// reclaims.
	ReasonReserve Reason = "reserve"
	// ReasonSavings means that fewer or cheaper replicas bear the need.
	ReasonSavings Reason = "savings"
)

// Order asks the platform for a number of replicas of a group.
type Order struct {
	Group
	// Desired is the number asked for. Ready and Expected are the numbers of replicas of the
	// group that are there, and that were expected before the order.
	Desired, Ready, Expected int
	Reason                   Reason
}

// Outcome says what became of an order.
type Outcome uint8

// Outcomes of orders.
const (
	// Accepted means that the platform took the order.
	Accepted Outcome = iota + 1
	// NoneAvailable means that the platform has no such replicas there at the moment.
	NoneAvailable
	// Uncertain means that the platform may have taken the order.
	Uncertain
	// NotTaken means that the platform did not take the order.
	NotTaken
)

var outcomeNames = [...]string{"invalid", "accepted", "none available", "uncertain", "not taken"}

// String returns the outcome's name as used in logs and metrics.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return outcomeNames[0]
	}
	return outcomeNames[o]
}
