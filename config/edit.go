package config

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/objects"
)

// editAttempts bounds how often an edit is repeated because a status write
// came between.
const editAttempts = 8

// Editor is what Edit needs of the object API.
type Editor interface {
	objects.Writer
	Create(ctx context.Context, obj api.Object) (api.Object, error)
}

// EditConflict reports that another operator changed the same resource.
type EditConflict struct {
	// Proposed is the resource as this edit would have made it. Its versions are
	// those it was made from; they are zero if there was none.
	Proposed api.Object
	// Current is the resource as the other operator left it.
	Current api.Object
	// Unanswered says that the write of the edit got no answer: it may have
	// been in force before the other one replaced it. Otherwise nothing was
	// written.
	Unanswered bool
}

// Error describes the conflict.
func (e *EditConflict) Error() string {
	return fmt.Sprintf("config: %s %q changed from spec version %d to %d meanwhile: the edit was not made",
		e.Current.Kind, e.Current.Name, e.Proposed.SpecVersion, e.Current.SpecVersion)
}

// Edit reads a resource, changes its spec and writes it back if no other
// operator changed the spec meanwhile. A resource that does not exist is made
// from the zero spec. It returns the resource as stored.
//
// It fails with *EditConflict if another operator was first, with
// *api.InvalidError or a decoding error if the new spec is invalid, and with
// objects.ErrUncertain if the write was not answered and reading it back did
// not tell. With any other error nothing was written.
func Edit[S any](ctx context.Context, c Editor, kind api.Kind, name string, change func(S) (S, error)) (api.Object, error) {
	base, err := c.Get(ctx, kind, name)
	exists := err == nil
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		return api.Object{}, err
	}
	var spec S
	if exists {
		if err := api.DecodeSpec(base.Spec, &spec); err != nil {
			return api.Object{}, err
		}
	}
	if spec, err = change(spec); err != nil {
		return api.Object{}, err
	}
	raw, err := json.Marshal(spec)
	if err != nil {
		return api.Object{}, errors.Wrap(err, "encode spec")
	}
	base.Kind, base.Name, base.Spec = kind, name, raw
	return Put(ctx, c, base)
}

// Put writes the spec of a resource as it was read, with its versions, or makes
// it if they are zero. It fails as Edit does.
func Put(ctx context.Context, c Editor, obj api.Object) (api.Object, error) {
	if err := api.Validate(obj); err != nil {
		return api.Object{}, err
	}
	for range editAttempts {
		stored, err := putOnce(ctx, c, obj)
		var conflict *objects.ConflictError
		switch {
		case err == nil:
			return stored, nil
		case errors.Is(err, objects.ErrUncertain):
			return readBack(ctx, c, obj, err)
		case !errors.As(err, &conflict) || conflict.Current == nil:
			return api.Object{}, err
		}
		current := *conflict.Current
		if current.SpecVersion != obj.SpecVersion {
			return api.Object{}, &EditConflict{Proposed: obj, Current: current}
		}
		// Only the status changed.
		obj.Version, obj.Status = current.Version, current.Status
	}
	return api.Object{}, objects.ErrConflict
}

func putOnce(ctx context.Context, c Editor, obj api.Object) (api.Object, error) {
	if obj.Version == 0 {
		return c.Create(ctx, obj)
	}
	return c.Update(ctx, obj)
}

// readBack finds out what became of a write without an answer. A write that is
// not there yet may still take effect, so only finding it settles the matter.
func readBack(ctx context.Context, c Editor, obj api.Object, cause error) (api.Object, error) {
	current, err := c.Get(ctx, obj.Kind, obj.Name)
	switch {
	case err != nil || current.SpecVersion <= obj.SpecVersion:
		return api.Object{}, cause
	case sameSpec(current.Spec, obj.Spec):
		return current, nil
	}
	return api.Object{}, &EditConflict{Proposed: obj, Current: current, Unanswered: true}
}

// sameSpec reports whether two specs are equal but for white space.
func sameSpec(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	if json.Compact(&x, a) != nil || json.Compact(&y, b) != nil {
		return false
	}
	return bytes.Equal(x.Bytes(), y.Bytes())
}
