package config

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/objects"
)

// copyPrefix starts the names of the Report objects that hold copies of accepted
// specs. If the newest spec of a resource is invalid, its last accepted spec is
// copied. The platform keeps only the newest spec, so without the copy the accepted
// spec would be lost when all instances are replaced.
const copyPrefix = "accepted-"

// StatusStore is the part of the object API that a StatusReporter uses.
type StatusStore interface {
	objects.Writer
	Create(ctx context.Context, obj api.Object) (api.Object, error)
	Delete(ctx context.Context, kind api.Kind, name string, version int64) error
}

// acceptedCopy is the spec of a Report object that holds a copy of an accepted
// spec.
type acceptedCopy struct {
	Kind     api.Kind        `json:"kind"`
	Name     string          `json:"name"`
	Accepted int64           `json:"accepted"`
	Spec     json.RawMessage `json:"spec"`
}

func copyName(k ResourceKey) string { return copyPrefix + string(k.Kind) + "-" + k.Name }

// acceptedCopyObject returns the Report object that holds a copy of the record's
// accepted spec.
func acceptedCopyObject(rec Record) (api.Object, error) {
	raw, err := json.Marshal(acceptedCopy{rec.Key.Kind, rec.Key.Name, rec.Accepted, rec.Spec})
	if err != nil {
		return api.Object{}, errors.Wrap(err, "encode copy")
	}
	return api.Object{Kind: api.KindReport, Name: copyName(rec.Key), Spec: raw}, nil
}

// recordFromCopy decodes a copy of an accepted spec into a record. If the object is
// no such copy, it returns false.
func recordFromCopy(obj api.Object) (Record, bool) {
	var c acceptedCopy
	if !strings.HasPrefix(obj.Name, copyPrefix) || json.Unmarshal(obj.Spec, &c) != nil || c.Accepted <= 0 {
		return Record{}, false
	}
	return Record{Key: ResourceKey{c.Kind, c.Name}, Accepted: c.Accepted, Spec: c.Spec}, true
}

// recordsFromCopies decodes all copies of accepted specs in a list of Report
// objects.
func recordsFromCopies(list api.List) []Record {
	var records []Record
	for _, obj := range list.Items {
		if rec, ok := recordFromCopy(obj); ok {
			records = append(records, rec)
		}
	}
	return records
}

// saveCopy stores a copy of the record's accepted spec, unless the platform
// already holds a copy of the same or a higher spec version.
func saveCopy(ctx context.Context, store StatusStore, rec Record) error {
	obj, err := acceptedCopyObject(rec)
	if err != nil {
		return err
	}
	_, err = store.Create(ctx, obj)
	var conflict *objects.ConflictError
	if !errors.As(err, &conflict) || conflict.Current == nil {
		return err
	}
	if existing, ok := recordFromCopy(*conflict.Current); ok && existing.Accepted >= rec.Accepted {
		return nil
	}
	obj.Version = conflict.Current.Version
	_, err = store.Update(ctx, obj)
	return err
}

// deleteCopy deletes the copy of a resource's accepted spec, if there is one.
func deleteCopy(ctx context.Context, store StatusStore, key ResourceKey) error {
	obj, err := store.Get(ctx, api.KindReport, copyName(key))
	if err == nil {
		err = store.Delete(ctx, obj.Kind, obj.Name, obj.Version)
	}
	if errors.Is(err, objects.ErrNotFound) {
		return nil
	}
	return err
}
