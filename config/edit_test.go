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

// setSlots returns a change for Edit that gives a backend server the slots.
func setSlots(slots int) func(api.BackendServerSpec) (api.BackendServerSpec, error) {
	return func(api.BackendServerSpec) (api.BackendServerSpec, error) { return serverSpec(slots), nil }
}

// Another operator writes a resource after an edit has read it. The edit must not
// overwrite that write, and its error must hold both specs.
func TestConcurrentEditReportsBothVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, 1, platform.Options{})
		f.putServer("s", 1)
		_, err := Edit(t.Context(), f.admin, api.KindBackendServer, "s", func(api.BackendServerSpec) (api.BackendServerSpec, error) {
			f.putServer("s", 2) // the other operator
			return serverSpec(3), nil
		})
		var conflict *EditConflict
		if !errors.As(err, &conflict) || conflict.WriteUncertain {
			t.Fatalf("edit during another operator's write: error %v, want an *EditConflict with WriteUncertain false", err)
		}
		for obj, want := range map[*api.Object]int{&conflict.Proposed: 3, &conflict.Current: 2} {
			var spec api.BackendServerSpec
			if err := api.DecodeSpec(obj.Spec, &spec); err != nil || spec.Slots != want {
				t.Errorf("a resource in the EditConflict has %d slots, decoding error %v, want %d slots and no error", spec.Slots, err, want)
			}
		}
	})
}

// A status write between the read and the write of an edit must neither fail the
// edit nor be lost.
func TestStatusWriteDoesNotConflictWithEdit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, 1, platform.Options{})
		f.putServer("s", 1)
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
			t.Errorf("stored status %s, error %v, want 7 requests in flight from the status write and no error", obj.Status, err)
		}
	})
}

// The platform's response to an edit is lost. If reading the resource back shows
// the new spec, the edit succeeds. Otherwise it fails with ErrUncertain.
func TestEditWithLostResponseIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, 1, platform.Options{})
		f.putServer("s", 1)
		f.platform.SetFaults(platform.Faults{LoseConfirmations: 1})
		obj, err := Edit(t.Context(), f.admin, api.KindBackendServer, "s", setSlots(2))
		if err != nil || obj.SpecVersion == 0 {
			t.Errorf("edit with a lost response returned %+v, error %v, want the stored resource", obj, err)
		}
		f.platform.SetFaults(platform.Faults{LoseConfirmations: 1, StaleReads: api.Duration(time.Hour)})
		if _, err := Edit(t.Context(), staleReads{f.admin}, api.KindBackendServer, "s", setSlots(3)); !errors.Is(err, objects.ErrUncertain) {
			t.Errorf("edit that can't be read back: error %v, want ErrUncertain", err)
		}
	})
}

// staleReads is a client that returns version 2 of each object that the platform
// does not find. With reads so stale that they find no object, an edit thus starts
// from version 2, and reading the edit back also shows version 2.
type staleReads struct{ *objects.Client }

func (s staleReads) Get(ctx context.Context, kind api.Kind, name string) (api.Object, error) {
	obj, err := s.Client.Get(ctx, kind, name)
	if errors.Is(err, objects.ErrNotFound) {
		return api.Object{Kind: kind, Name: name, Version: 2, SpecVersion: 2, Spec: json.RawMessage(`{}`)}, nil
	}
	return obj, err
}

// An edit with an invalid spec must fail before it writes.
func TestEditRejectsInvalidSpec(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, 1, platform.Options{})
		_, err := Edit(t.Context(), f.admin, api.KindBackendServer, "s", setSlots(0))
		var invalid *api.InvalidError
		if !errors.As(err, &invalid) || invalid.Field != "slots" {
			t.Errorf("edit with 0 slots: error %v, want an *InvalidError for field slots", err)
		}
	})
}

func getStatus(t *testing.T, f *fleet, name string) api.Status {
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

// The status counts the instances that have a change. It shows InForce when all
// instances have the change. It is not written while nothing changes.
func TestStatusReportsRolloutByDataCentre(t *testing.T) {
	withReadyFleet(t, platform.Options{}, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		isolated := f.members[6]
		isolated.platformCut.Store(true)
		f.network.Isolate(isolated.address)
		f.closeWatches()
		version := f.putServer("s", 2)
		time.Sleep(10 * time.Second)
		status := getStatus(t, f, "s")
		inForce, _ := objects.FindCondition(status, api.ConditionInForce)
		accepted, _ := objects.FindCondition(status, api.ConditionAccepted)
		if inForce.Status || !accepted.Status || accepted.SpecVersion != version {
			t.Errorf("status while an instance is cut off: %+v, want Accepted at the new version and not InForce", status)
		}
		want := api.RolloutByDataCentre{DataCentre: isolated.dc, InForce: 1, Known: 2}
		if got := status.Rollout[2]; got != want {
			t.Errorf("rollout in the data centre of the isolated instance: %+v, want %+v", got, want)
		}
		f.network.Heal()
		time.Sleep(20 * time.Second)
		inForce, _ = objects.FindCondition(getStatus(t, f, "s"), api.ConditionInForce)
		if !inForce.Status || inForce.SpecVersion != version {
			t.Errorf("condition InForce after the network healed: %+v, want true at the new version", inForce)
		}
		writes := f.platform.Counters().Writes
		time.Sleep(time.Minute)
		if got := f.platform.Counters().Writes - writes; got != 0 {
			t.Errorf("%d status writes while nothing changed, want none", got)
		}
		f.putRawSpec("s", `{}`)
		time.Sleep(10 * time.Second)
		accepted, _ = objects.FindCondition(getStatus(t, f, "s"), api.ConditionAccepted)
		if accepted.Status || accepted.Reason != ReasonInvalid || accepted.Message == "" {
			t.Errorf("condition Accepted of an invalid spec: %+v, want false with reason Invalid and a message", accepted)
		}
	})
}
