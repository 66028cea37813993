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

// maxEditAttempts bounds the attempts of one edit. An attempt fails if the status
// of the resource is written between the read and the write of the attempt.
const maxEditAttempts = 8

// Editor is the part of the object API that Edit uses.
type Editor interface {
	objects.Writer
	Create(ctx context.Context, obj api.Object) (api.Object, error)
}

// EditConflict reports that another operator changed the same resource.
type EditConflict struct {
	// Proposed is the resource as this edit would have stored it. Its versions are
	// those of the resource that the edit read. If the edit found no resource, they
	// are zero.
	Proposed api.Object
	// Current is the resource as the other operator stored it.
	Current api.Object
	// WriteUncertain says that the write of this edit got no response. The
	// proposed spec may then have been in force until the other operator's
	// write replaced it. If WriteUncertain is false, this edit wrote nothing.
	WriteUncertain bool
}

// Error describes the conflict.
func (e *EditConflict) Error() string {
	return fmt.Sprintf("config: %s %q was changed by someone else from spec version %d to %d: the edit was not applied",
		e.Current.Kind, e.Current.Name, e.Proposed.SpecVersion, e.Current.SpecVersion)
}

// Edit reads a resource, changes its spec and writes it back unless another
// operator changed the spec in between. If the resource does not exist, change
// gets the zero spec and the resource is created. Edit returns the resource as
// stored.
//
// It fails with *EditConflict if another operator's write came first, with
// *api.InvalidError or a decoding error if the new spec is invalid, and with
// objects.ErrUncertain if the write got no response and a read afterwards did
// not show whether it took effect. With any other error nothing was written.
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
	return PutIfUnchanged(ctx, c, base)
}

// PutIfUnchanged writes obj, unless another operator has changed the spec since
// it was read. The Version and SpecVersion of obj are those of the read. If
// both are zero, PutIfUnchanged creates the resource. It fails with the same
// errors as Edit.
func PutIfUnchanged(ctx context.Context, c Editor, obj api.Object) (api.Object, error) {
	if err := api.Validate(obj); err != nil {
		return api.Object{}, err
	}
	for range maxEditAttempts {
		stored, err := putOnce(ctx, c, obj)
		var conflict *objects.ConflictError
		switch {
		case err == nil:
			return stored, nil
		case errors.Is(err, objects.ErrUncertain):
			return resolveUncertainWrite(ctx, c, obj, err)
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

// resolveUncertainWrite reads a resource back after a write that got no response.
// If the stored resource has the written spec, resolveUncertainWrite returns the
// resource. If the stored resource has another new spec, it returns an
// *EditConflict. If the read fails or shows no new spec, the write may still take
// effect later. Then it returns the argument cause as the error.
func resolveUncertainWrite(ctx context.Context, c Editor, obj api.Object, cause error) (api.Object, error) {
	current, err := c.Get(ctx, obj.Kind, obj.Name)
	switch {
	case err != nil || current.SpecVersion <= obj.SpecVersion:
		return api.Object{}, cause
	case sameSpec(current.Spec, obj.Spec):
		return current, nil
	}
	return api.Object{}, &EditConflict{Proposed: obj, Current: current, WriteUncertain: true}
}

// sameSpec reports whether two specs are equal apart from white space.
func sameSpec(a, b json.RawMessage) bool {
	var compactA, compactB bytes.Buffer
	if json.Compact(&compactA, a) != nil || json.Compact(&compactB, b) != nil {
		return false
	}
	return bytes.Equal(compactA.Bytes(), compactB.Bytes())
}
