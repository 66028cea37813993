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

// check verifies every guarantee. It must be called after heal.
func (s *step) check(ctx context.Context) error {
	s.checkReady(ctx)
	s.checkConfiguration(ctx)
	s.checkDrain(ctx)
	if err := s.checkEveryClassServed(ctx); err != nil {
		return err
	}
	s.checkRunCounts()
	s.result.Failures = append(s.result.Failures, s.run.monitor.takeFailures()...)
	s.result.Failures = append(s.result.Failures, s.run.findings.takeFailures()...)
	return ctx.Err()
}

// checkReady verifies that every running instance becomes ready.
func (s *step) checkReady(ctx context.Context) {
	for _, instance := range s.run.aliveInstances() {
		problem := waitUntil(ctx, func() string {
			if instance.Current().Ready() {
				return ""
			}
			return instance.Name() + " is not ready"
		})
		if problem != "" {
			s.addFailure(EveryClassServed, problem)
		}
	}
}

// checkConfiguration verifies two properties. Each resource on the platform has
// the version of its last accepted write. Every running instance holds the same
// configuration as the platform.
func (s *step) checkConfiguration(ctx context.Context) {
	if problem := waitUntil(ctx, func() string { return s.configurationProblem(ctx) }); problem != "" {
		s.addFailure(Configuration, problem)
	}
}

// configurationProblem describes why the condition of checkConfiguration does
// not hold: no instance is running, a read failed, or a resource differs. It
// returns an empty string if the condition holds.
func (s *step) configurationProblem(ctx context.Context) string {
	o, ok := s.randomOperator()
	if !ok {
		return "no instance is running"
	}
	for _, kind := range api.ConfigKinds {
		list, err := o.client.List(ctx, kind)
		if err != nil {
			return errorText(err)
		}
		if problem := s.lostWrite(list); problem != "" {
			return problem
		}
		for _, instance := range s.run.aliveInstances() {
			if problem := snapshotDifference(kind, list, instance.Current().Config()); problem != "" {
				return instance.Name() + ": " + problem
			}
		}
	}
	return ""
}

// lostWrite describes a resource in the list whose version differs from that of
// its last accepted write. It returns an empty string if no resource does.
func (s *step) lostWrite(list api.List) string {
	for _, obj := range list.Items {
		want, ok := s.run.acceptedVersions[config.ResourceKey{Kind: obj.Kind, Name: obj.Name}]
		if ok && obj.SpecVersion != want {
			return fmt.Sprintf("%s %s is at version %d, but the operator's write was accepted as version %d", obj.Kind, obj.Name, obj.SpecVersion, want)
		}
	}
	return ""
}

// snapshotDifference compares an instance's snapshot with the platform's list
// of one kind. It describes the first difference, or returns an empty string if
// the two are equal.
func snapshotDifference(kind api.Kind, list api.List, snapshot *config.Snapshot) string {
	switch kind {
	case api.KindServiceClass:
		return entriesDifference(list, snapshot.Classes)
	case api.KindOrganisation:
		return entriesDifference(list, snapshot.Organisations)
	case api.KindRoute:
		return entriesDifference(list, snapshot.Routes)
	default:
		return entriesDifference(list, snapshot.BackendServers)
	}
}

// entriesDifference compares an instance's entries with the platform's list. It
// describes the first difference in number, version or spec, or returns an
// empty string if the two are equal.
func entriesDifference[S any](list api.List, entries map[string]config.Entry[S]) string {
	if len(entries) != len(list.Items) {
		return fmt.Sprintf("the instance holds %d resources, the platform %d", len(entries), len(list.Items))
	}
	for _, obj := range list.Items {
		entry, ok := entries[obj.Name]
		if !ok || entry.SpecVersion != obj.SpecVersion {
			return fmt.Sprintf("%s %s is at version %d in the instance, at %d on the platform", obj.Kind, obj.Name, entry.SpecVersion, obj.SpecVersion)
		}
		var want S
		if err := api.DecodeSpec(obj.Spec, &want); err != nil {
			return errorText(err)
		}
		if !reflect.DeepEqual(entry.Spec, want) {
			return fmt.Sprintf("%s %s has the same version as on the platform, but another spec", obj.Kind, obj.Name)
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

// errorText returns the error's text, or an empty string for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
