package chaos

import (
	"context"
	"fmt"
	"slices"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/demo"
)

// fault is one kind of fault that a step can inject.
type fault struct {
	name string
	// isDrain marks an operator's drain of a server. A step with a drain lasts
	// longer than DrainLimit.
	isDrain bool
	// isBurst marks a burst of one class. The load generator produces the
	// burst, so inject does nothing.
	isBurst bool
	// inject starts the fault, at a random target if there are several. It
	// returns details for the report, such as the target or a duration. The
	// caller appends the details to the fault's name. They may be empty.
	inject func(ctx context.Context, s *step) string
}

func allFaults() []fault {
	return slices.Concat(instanceFaults(), peerFaults(), platformFaults(), engineFaults(), serviceFaults(), operatorFaults(), loadFaults())
}

// FaultNames returns the names that Options.Faults accepts.
func FaultNames() []string {
	var names []string
	for _, f := range allFaults() {
		names = append(names, f.name)
	}
	return names
}

// faultsByName returns the faults with the given names. If the list of names is
// empty, it returns all faults.
func faultsByName(names []string) ([]fault, error) {
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

// randomInstance returns a random instance, running or not.
func (s *step) randomInstance() *demo.Instance { return pick(s.run.random, s.run.demo.Instances()) }

// randomPair returns two different random instances.
func (s *step) randomPair() (a, b *demo.Instance) {
	instances := s.run.demo.Instances()
	order := s.run.random.Perm(len(instances))
	return instances[order[0]], instances[order[1]]
}

func instanceFaults() []fault {
	return []fault{
		{name: "kill", inject: func(_ context.Context, s *step) string {
			instance := s.randomInstance()
			s.kill(instance)
			if s.run.random.Float64() < staysDownProbability && len(s.run.aliveInstances()) > dataCentreCount {
				s.staysDown[instance] = true
				return " " + instance.Name() + " into the next step"
			}
			return " " + instance.Name()
		}},
		{name: "restart", inject: func(ctx context.Context, s *step) string {
			instance := s.randomInstance()
			s.restartAll(ctx, []*demo.Instance{instance})
			return " " + instance.Name()
		}},
		{name: "leave", inject: func(_ context.Context, s *step) string {
			instance := s.randomInstance()
			s.run.monitor.stopWatching(instance.Name())
			instance.Leave()
			s.instanceLeft = true
			return " " + instance.Name()
		}},
		{name: "replace-all-peers-of", inject: func(ctx context.Context, s *step) string {
			instance := s.randomInstance()
			others := slices.DeleteFunc(slices.Clone(s.run.demo.Instances()), func(other *demo.Instance) bool { return other == instance })
			s.restartAll(ctx, others)
			return " " + instance.Name()
		}},
	}
}

func peerFaults() []fault {
	return []fault{
		{name: "freeze", inject: func(_ context.Context, s *step) string {
			instance := s.randomInstance()
			s.freeze(instance)
			return " " + instance.Name()
		}},
		{name: "cut-one-way", inject: func(_ context.Context, s *step) string {
			a, b := s.randomPair()
			s.cutOneWay(a, b)
			return " " + a.Name() + " to " + b.Name()
		}},
		{name: "cut", inject: func(_ context.Context, s *step) string {
			a, b := s.randomPair()
			s.cutBothWays(a, b)
			return " " + a.Name() + " and " + b.Name()
		}},
		{name: "isolate", inject: func(_ context.Context, s *step) string {
			instance := s.randomInstance()
			s.cutOff([]*demo.Instance{instance})
			return " " + instance.Name()
		}},
		{name: "partition", inject: func(_ context.Context, s *step) string {
			name := s.randomInstance().DataCentre()
			s.cutOff(s.instancesIn(name))
			return " " + name
		}},
		{name: "lose-messages", inject: func(_ context.Context, s *step) string {
			share := 0.05 + 0.25*s.run.random.Float64()
			s.run.network.SetLoss(share)
			return fmt.Sprintf(" %.2f", share)
		}},
	}
}

// cutOff cuts all links between the given instances and all other instances.
func (s *step) cutOff(group []*demo.Instance) {
	for _, a := range group {
		for _, b := range s.run.demo.Instances() {
			if !slices.Contains(group, b) {
				s.cutBothWays(a, b)
			}
		}
	}
}

// burstFactor is the factor by which a burst multiplies the arrival rate of its
// class.
const burstFactor = 15

func loadFaults() []fault {
	return []fault{{
		name: "burst", isBurst: true,
		inject: func(context.Context, *step) string { return "" },
	}}
}
