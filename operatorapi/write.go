package operatorapi

import (
	"context"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/objects"
)

// maxWriteAttempts bounds the tries of a write that meets status updates.
const maxWriteAttempts = 5

// write creates a resource, or updates it if its spec did not change since
// obj.Version. The status belongs to the system and is kept.
func (s server) write(ctx context.Context, obj api.Object) (api.Object, error) {
	if obj.Version == 0 {
		return s.Objects.Create(ctx, obj)
	}
	var written api.Object
	err := s.onSpec(ctx, obj.Kind, obj.Name, obj.Version, func(current api.Object) error {
		next := obj
		next.Version = current.Version
		next.Status = current.Status
		var err error
		written, err = s.Objects.Update(ctx, next)
		return err
	})
	return written, err
}

// delete removes a resource if its spec did not change since version.
func (s server) delete(ctx context.Context, kind api.Kind, name string, version int64) error {
	return s.onSpec(ctx, kind, name, version, func(current api.Object) error {
		return s.Objects.Delete(ctx, kind, name, current.Version)
	})
}

// onSpec runs a conditional write on the current version, provided that the
// spec is still the one of seen. The system's status updates don't count as
// conflicts.
func (s server) onSpec(ctx context.Context, kind api.Kind, name string, seen int64, write func(current api.Object) error) error {
	for attempt := 1; ; attempt++ {
		current, err := s.Objects.Get(ctx, kind, name)
		if err != nil {
			return err
		}
		if current.SpecVersion > seen {
			return &objects.ConflictError{Current: &current}
		}
		err = write(current)
		if !errors.Is(err, objects.ErrConflict) || attempt == maxWriteAttempts {
			return err
		}
	}
}
