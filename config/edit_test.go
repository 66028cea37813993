package config

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/objects"
	"bergamotpin.example/bergamotpin/standin/platform"
)

func setSlots(slots int) func(api.BackendServerSpec) (api.BackendServerSpec, error) {
	return func(api.BackendServerSpec) (api.BackendServerSpec, error) { return serverSpec(slots), nil }
}

func TestOfTwoOperatorsOneWinsAndTheOtherSeesBoth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, 1, platform.Options{})
		f.put("s", 1)
		_, err := Edit(t.Context(), f.admin, api.KindBackendServer, "s", func(api.BackendServerSpec) (api.BackendServerSpec, error) {
			f.put("s", 2) // the other operator
			return serverSpec(3), nil
		})
		var conflict *EditConflict
		if !errors.As(err, &conflict) || conflict.Unanswered {
			t.Fatalf("error %v", err)
		}
		for obj, want := range map[*api.Object]int{&conflict.Proposed: 3, &conflict.Current: 2} {
			var spec api.BackendServerSpec
			if err := api.DecodeSpec(obj.Spec, &spec); err != nil || spec.Slots != want {
				t.Errorf("slots %d, %v, want %d", spec.Slots, err, want)
			}
		}
	})
}

func TestStatusWriteIsNoConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, 1, platform.Options{})
		f.put("s", 1)
		_, err := Edit(t.Context(), f.admin, api.KindBackendServer, "s", func(api.BackendServerSpec) (api.BackendServerSpec, error) {
			err := objects.UpdateStatus(t.Context(), f.admin, api.KindBackendServer, "s", func(_ int64, s *api.Status) { s.InFlight = 7 })
			return serverSpec(3), err
		})
		if err != nil {
			t.Fatal(err)
		}
		obj, err := f.admin.Get(t.Context(), api.KindBackendServer, "s")
		var status api.Status
		if err != nil || json.Unmarshal(obj.Status, &status) != nil || status.InFlight != 7 {
			t.Errorf("status %s, %v", obj.Status, err)
		}
	})
}

func TestLostConfirmationOfAnEditIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, 1, platform.Options{})
		f.put("s", 1)
		f.platform.SetFaults(platform.Faults{LoseConfirmations: 1})
		obj, err := Edit(t.Context(), f.admin, api.KindBackendServer, "s", setSlots(2))
		if err != nil || obj.SpecVersion == 0 {
			t.Errorf("edit: %+v, %v", obj, err)
		}
		f.platform.SetFaults(platform.Faults{LoseConfirmations: 1, StaleReads: api.Duration(time.Hour)})
		if _, err := Edit(t.Context(), lossyReads{f.admin}, api.KindBackendServer, "s", setSlots(3)); !errors.Is(err, objects.ErrUncertain) {
			t.Errorf("edit that can't be read back: %v", err)
		}
	})
}

// lossyReads reads the present for the edit's base, and else what the
// platform answers.
type lossyReads struct{ *objects.Client }

func (l lossyReads) Get(ctx context.Context, kind api.Kind, name string) (api.Object, error) {
	obj, err := l.Client.Get(ctx, kind, name)
	if errors.Is(err, objects.ErrNotFound) {
		return api.Object{Kind: kind, Name: name, Version: 2, SpecVersion: 2, Spec: json.RawMessage(`{}`)}, nil
	}
	return obj, err
}

func TestEditRefusesAnInvalidSpec(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, 1, platform.Options{})
		_, err := Edit(t.Context(), f.admin, api.KindBackendServer, "s", setSlots(0))
		var wrong *api.InvalidError
		if !errors.As(err, &wrong) || wrong.Field != "slots" {
			t.Errorf("error %v", err)
		}
	})
}

func statusOf(t *testing.T, f *fleet, name string) api.Status {
	t.Helper()
	obj, err := f.admin.Get(t.Context(), api.KindBackendServer, name)
	if err != nil {
		t.Fatal(err)
	}
	var status api.Status
	if err := json.Unmarshal(obj.Status, &status); err != nil {
		t.Fatal(err)
	}
	return status
}

func TestStatusTellsWhatIsInForceWhere(t *testing.T) {
	run(t, platform.Options{}, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		lone := f.members[6]
		lone.cut.Store(true)
		f.network.Isolate(lone.address)
		f.cutWatches()
		version := f.put("s", 2)
		time.Sleep(10 * time.Second)
		status := statusOf(t, f, "s")
		inForce, _ := objects.Condition(status, api.ConditionInForce)
		accepted, _ := objects.Condition(status, api.ConditionAccepted)
		if inForce.Status || !accepted.Status || accepted.SpecVersion != version {
			t.Errorf("cut off: %+v", status)
		}
		want := api.RolloutByDataCentre{DataCentre: lone.dc, InForce: 1, Known: 2}
		if got := status.Rollout[2]; got != want {
			t.Errorf("reach %+v, want %+v", got, want)
		}
		f.network.Heal()
		time.Sleep(20 * time.Second)
		inForce, _ = objects.Condition(statusOf(t, f, "s"), api.ConditionInForce)
		if !inForce.Status || inForce.SpecVersion != version {
			t.Errorf("healed: %+v", inForce)
		}
		writes := f.platform.Counters().Writes
		time.Sleep(time.Minute)
		if got := f.platform.Counters().Writes - writes; got != 0 {
			t.Errorf("%d writes at rest", got)
		}
		f.putRaw("s", `{}`)
		time.Sleep(10 * time.Second)
		accepted, _ = objects.Condition(statusOf(t, f, "s"), api.ConditionAccepted)
		if accepted.Status || accepted.Reason != ReasonInvalid || accepted.Message == "" {
			t.Errorf("invalid: %+v", accepted)
		}
	})
}
