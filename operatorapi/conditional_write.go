package operatorapi

import (
	"context"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/objects"
)

// maxWriteAttempts limits the attempts of a write that conflicts with status
// updates.
const maxWriteAttempts = 5

// If obj.Version is 0, write creates the resource. Otherwise it updates the
// resource, provided that the spec has not changed since obj.Version. An update
// keeps the current status, since only instances write the status.
func (s server) write(ctx context.Context, obj api.Object) (api.Object, error) {
	if obj.Version == 0 {
		return s.Objects.Create(ctx, obj)
	}
	var written api.Object
	err := s.writeIfSpecUnchanged(ctx, obj.Kind, obj.Name, obj.Version, func(current api.Object) error {
		next := obj
		next.Version = current.Version
		next.Status = current.Status
		var err error
		written, err = s.Objects.Update(ctx, next)
		return err
	})
	return written, err
}

// delete removes a resource, provided that its spec has not changed since the
// given version.
func (s server) delete(ctx context.Context, kind api.Kind, name string, version int64) error {
	return s.writeIfSpecUnchanged(ctx, kind, name, version, func(current api.Object) error {
		return s.Objects.Delete(ctx, kind, name, current.Version)
	})
}

// writeIfSpecUnchanged calls write with the current object. If the spec has
// changed since seenVersion, it returns a *ConflictError instead. If a status
// update in the meantime makes the write fail, it tries again, since a status
// update is no conflict for the operator.
func (s server) writeIfSpecUnchanged(ctx context.Context, kind api.Kind, name string, seenVersion int64, write func(current api.Object) error) error {
	for attempt := 1; ; attempt++ {
		current, err := s.Objects.Get(ctx, kind, name)
		if err != nil {
			return err
		}
		if current.SpecVersion > seenVersion {
			return &objects.ConflictError{Current: &current}
		}
		err = write(current)
		if !errors.Is(err, objects.ErrConflict) || attempt == maxWriteAttempts {
			return err
		}
	}
}
