package chaos

import (
	"context"
	"fmt"
	"slices"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/demo"
)

// fault is one kind of fault.
type fault struct {
	name string
	// drains marks the operator's drain of a server, which takes a longer step.
	drains bool
	// bursts marks a burst of one class, which the load itself brings.
	bursts bool
	// inject draws the target and switches the fault on. It returns the target
	// for the report.
	inject func(ctx context.Context, s *step) string
}

// allFaults returns every fault.
func allFaults() []fault {
	return slices.Concat(instanceFaults(), peerFaults(), platformFaults(), engineFaults(), serviceFaults(), operatorFaults(), loadFaults())
}

// FaultNames lists the faults that Options.Faults may name.
func FaultNames() []string {
	var names []string
	for _, f := range allFaults() {
		names = append(names, f.name)
	}
	return names
}

func namedFaults(names []string) ([]fault, error) {
	all := allFaults()
	if len(names) == 0 {
		return all, nil
	}
	var out []fault
	for _, name := range names {
		i := slices.IndexFunc(all, func(f fault) bool { return f.name == name })
		if i < 0 {
			return nil, errors.Wrap(ErrUnknownFault, name)
		}
		out = append(out, all[i])
	}
	return out, nil
}

// instance draws one of all instances.
func (s *step) instance() *demo.Instance { return pick(s.run.random, s.run.demo.Instances()) }

// pair draws two different instances.
func (s *step) pair() (a, b *demo.Instance) {
	instances := s.run.demo.Instances()
	order := s.run.random.Perm(len(instances))
	return instances[order[0]], instances[order[1]]
}

func instanceFaults() []fault {
	return []fault{
		{name: "kill", inject: func(_ context.Context, s *step) string {
			n := s.instance()
			s.kill(n)
			if s.run.random.Float64() < staysDown && len(s.run.alive()) > dataCentres {
				s.down[n] = true
				return " " + n.Name() + " into the next step"
			}
			return " " + n.Name()
		}},
		{name: "restart", inject: func(ctx context.Context, s *step) string {
			n := s.instance()
			s.restartAll(ctx, []*demo.Instance{n})
			return " " + n.Name()
		}},
		{name: "leave", inject: func(_ context.Context, s *step) string {
			n := s.instance()
			s.run.monitor.forget(n.Name())
			n.Leave()
			s.left = true
			return " " + n.Name()
		}},
		{name: "replace-all-peers-of", inject: func(ctx context.Context, s *step) string {
			n := s.instance()
			others := slices.DeleteFunc(slices.Clone(s.run.demo.Instances()), func(other *demo.Instance) bool { return other == n })
			s.restartAll(ctx, others)
			return " " + n.Name()
		}},
	}
}

func peerFaults() []fault {
	return []fault{
		{name: "freeze", inject: func(_ context.Context, s *step) string {
			n := s.instance()
			s.freeze(n)
			return " " + n.Name()
		}},
		{name: "cut-one-way", inject: func(_ context.Context, s *step) string {
			a, b := s.pair()
			s.cutOneWay(a, b)
			return " " + a.Name() + " to " + b.Name()
		}},
		{name: "cut", inject: func(_ context.Context, s *step) string {
			a, b := s.pair()
			s.cutBothWays(a, b)
			return " " + a.Name() + " and " + b.Name()
		}},
		{name: "isolate", inject: func(_ context.Context, s *step) string {
			n := s.instance()
			s.split([]*demo.Instance{n})
			return " " + n.Name()
		}},
		{name: "partition", inject: func(_ context.Context, s *step) string {
			name := s.instance().DataCentre()
			s.split(s.dataCentre(name))
			return " " + name
		}},
		{name: "lose-messages", inject: func(_ context.Context, s *step) string {
			share := 0.05 + 0.25*s.run.random.Float64()
			s.run.network.SetLoss(share)
			return fmt.Sprintf(" %.2f", share)
		}},
	}
}

// split cuts the instances off from all others.
func (s *step) split(side []*demo.Instance) {
	for _, a := range side {
		for _, b := range s.run.demo.Instances() {
			if !slices.Contains(side, b) {
				s.cutBothWays(a, b)
			}
		}
	}
}

// loadBurst is the factor of a burst.
const loadBurst = 15

func loadFaults() []fault {
	return []fault{{
		name: "burst", bursts: true,
		inject: func(context.Context, *step) string { return "" },
	}}
}
