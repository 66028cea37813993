package chaos

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/config"
)

// check checks every promise after the healing.
func (s *step) check(ctx context.Context) error {
	s.checkReady(ctx)
	s.checkConfiguration(ctx)
	s.checkDrain(ctx)
	if err := s.checkServed(ctx); err != nil {
		return err
	}
	s.checkRuns()
	s.result.Failures = append(s.result.Failures, s.run.monitor.take()...)
	s.result.Failures = append(s.result.Failures, s.run.audits.take()...)
	return ctx.Err()
}

func (s *step) checkReady(ctx context.Context) {
	for _, n := range s.run.alive() {
		complaint := until(ctx, func() string {
			if n.Current().Ready() {
				return ""
			}
			return n.Name() + " is not ready"
		})
		if complaint != "" {
			s.fail(EveryClassServed, complaint)
		}
	}
}

// checkConfiguration requires that the platform kept what operators were told
// is accepted, and that every instance holds what the platform does.
func (s *step) checkConfiguration(ctx context.Context) {
	if complaint := until(ctx, func() string { return s.notInForce(ctx) }); complaint != "" {
		s.fail(Configuration, complaint)
	}
}

func (s *step) notInForce(ctx context.Context) string {
	o, ok := s.aliveOperator()
	if !ok {
		return "no instance runs"
	}
	for _, kind := range api.ConfigKinds {
		list, err := o.client.List(ctx, kind)
		if err != nil {
			return errorText(err)
		}
		if complaint := s.lost(list); complaint != "" {
			return complaint
		}
		for _, n := range s.run.alive() {
			if complaint := differs(kind, list, n.Current().Config()); complaint != "" {
				return n.Name() + ": " + complaint
			}
		}
	}
	return ""
}

// lost names an accepted write that the list does not show.
func (s *step) lost(list api.List) string {
	for _, obj := range list.Items {
		want, ok := s.run.accepted[config.ResourceKey{Kind: obj.Kind, Name: obj.Name}]
		if ok && obj.SpecVersion != want {
			return fmt.Sprintf("%s %s is at version %d, its operator was told of %d", obj.Kind, obj.Name, obj.SpecVersion, want)
		}
	}
	return ""
}

// differs names a resource that an instance holds otherwise than the list.
func differs(kind api.Kind, list api.List, held *config.Snapshot) string {
	switch kind {
	case api.KindServiceClass:
		return differsIn(list, held.Classes)
	case api.KindOrganisation:
		return differsIn(list, held.Organisations)
	case api.KindRoute:
		return differsIn(list, held.Routes)
	default:
		return differsIn(list, held.BackendServers)
	}
}

func differsIn[S any](list api.List, held map[string]config.Entry[S]) string {
	if len(held) != len(list.Items) {
		return fmt.Sprintf("holds %d resources, the platform %d", len(held), len(list.Items))
	}
	for _, obj := range list.Items {
		entry, ok := held[obj.Name]
		if !ok || entry.SpecVersion != obj.SpecVersion {
			return fmt.Sprintf("%s %s at version %d, the platform at %d", obj.Kind, obj.Name, entry.SpecVersion, obj.SpecVersion)
		}
		var want S
		if err := api.DecodeSpec(obj.Spec, &want); err != nil {
			return errorText(err)
		}
		if !reflect.DeepEqual(entry.Spec, want) {
			return fmt.Sprintf("%s %s has another spec at the same version", obj.Kind, obj.Name)
		}
	}
	return ""
}

func decodeStatus(obj api.Object) (api.Status, error) {
	var status api.Status
	if len(obj.Status) == 0 {
		return status, nil
	}
	if err := json.Unmarshal(obj.Status, &status); err != nil {
		return status, errors.Wrap(err, "status")
	}
	return status, nil
}

// errorText returns an error as a complaint, and none for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
