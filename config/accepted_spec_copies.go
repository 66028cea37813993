package config

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/objects"
)

// copyPrefix begins the name of an object of kind Report that holds the last
// accepted spec of a resource whose newest spec is invalid. The platform keeps
// only the newest spec, so that without a copy the accepted one would be lost
// when all instances are replaced.
const copyPrefix = "accepted-"

// StatusStore is what a Reporter needs of the object API.
type StatusStore interface {
	objects.Writer
	Create(ctx context.Context, obj api.Object) (api.Object, error)
	Delete(ctx context.Context, kind api.Kind, name string, version int64) error
}

// acceptedCopy is the spec of a copy.
type acceptedCopy struct {
	Kind     api.Kind        `json:"kind"`
	Name     string          `json:"name"`
	Accepted int64           `json:"accepted"`
	Spec     json.RawMessage `json:"spec"`
}

func copyName(k ResourceKey) string { return copyPrefix + string(k.Kind) + "-" + k.Name }

// copyOf returns the object that holds the record's accepted spec.
func copyOf(rec Record) (api.Object, error) {
	raw, err := json.Marshal(acceptedCopy{rec.Key.Kind, rec.Key.Name, rec.Accepted, rec.Spec})
	if err != nil {
		return api.Object{}, errors.Wrap(err, "encode copy")
	}
	return api.Object{Kind: api.KindReport, Name: copyName(rec.Key), Spec: raw}, nil
}

// recordOfCopy reports whether the object is a copy, and returns its record.
func recordOfCopy(obj api.Object) (Record, bool) {
	var c acceptedCopy
	if !strings.HasPrefix(obj.Name, copyPrefix) || json.Unmarshal(obj.Spec, &c) != nil || c.Accepted <= 0 {
		return Record{}, false
	}
	return Record{Key: ResourceKey{c.Kind, c.Name}, Accepted: c.Accepted, Spec: c.Spec}, true
}

// recordsOfCopies returns the records of all copies in a list.
func recordsOfCopies(list api.List) []Record {
	var out []Record
	for _, obj := range list.Items {
		if rec, ok := recordOfCopy(obj); ok {
			out = append(out, rec)
		}
	}
	return out
}

// saveCopy stores the record's accepted spec, unless a copy of a higher version
// is there.
func saveCopy(ctx context.Context, store StatusStore, rec Record) error {
	obj, err := copyOf(rec)
	if err != nil {
		return err
	}
	_, err = store.Create(ctx, obj)
	var conflict *objects.ConflictError
	if !errors.As(err, &conflict) || conflict.Current == nil {
		return err
	}
	if old, ok := recordOfCopy(*conflict.Current); ok && old.Accepted >= rec.Accepted {
		return nil
	}
	obj.Version = conflict.Current.Version
	_, err = store.Update(ctx, obj)
	return err
}

// removeCopy deletes the copy of a resource, if there is one.
func removeCopy(ctx context.Context, store StatusStore, key ResourceKey) error {
	obj, err := store.Get(ctx, api.KindReport, copyName(key))
	if err == nil {
		err = store.Delete(ctx, obj.Kind, obj.Name, obj.Version)
	}
	if errors.Is(err, objects.ErrNotFound) {
		return nil
	}
	return err
}
