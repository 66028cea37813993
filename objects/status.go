package objects

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
)

// maxStatusAttempts bounds the attempts to update one object's status.
const maxStatusAttempts = 4

// Writer reads and conditionally updates objects.
type Writer interface {
	Get(ctx context.Context, kind api.Kind, name string) (api.Object, error)
	Update(ctx context.Context, obj api.Object) (api.Object, error)
}

// UpdateStatus changes an object's status and leaves its spec unchanged. It calls
// edit with the object's spec version and status. If edit changes nothing, nothing
// is written. If another write comes between the read and the update, UpdateStatus
// calls edit again with the newer object. After maxStatusAttempts such attempts it
// fails with ErrConflict. Calling UpdateStatus again with the same edit is safe.
func UpdateStatus(ctx context.Context, w Writer, kind api.Kind, name string, edit func(specVersion int64, s *api.Status)) error {
	obj, err := w.Get(ctx, kind, name)
	for range maxStatusAttempts {
		if err != nil {
			return err
		}
		changed, editErr := editStatus(&obj, edit)
		if editErr != nil || !changed {
			return editErr
		}
		_, err = w.Update(ctx, obj)
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		obj, err = currentObject(ctx, w, conflict, kind, name)
	}
	return ErrConflict
}

// currentObject returns the stored object from a conflict, or reads it if the
// conflict does not include it.
func currentObject(ctx context.Context, w Writer, conflict *ConflictError, kind api.Kind, name string) (api.Object, error) {
	if conflict.Current != nil {
		return *conflict.Current, nil
	}
	return w.Get(ctx, kind, name)
}

// editStatus applies edit to the object's status and reports whether the status
// changed.
func editStatus(obj *api.Object, edit func(int64, *api.Status)) (bool, error) {
	var status api.Status
	if len(obj.Status) > 0 {
		if err := json.Unmarshal(obj.Status, &status); err != nil {
			return false, errors.Wrap(err, "decode status")
		}
	}
	before, err := json.Marshal(status)
	if err != nil {
		return false, errors.Wrap(err, "encode status")
	}
	edit(obj.SpecVersion, &status)
	after, err := json.Marshal(status)
	if err != nil {
		return false, errors.Wrap(err, "encode status")
	}
	obj.Status = after
	return !bytes.Equal(before, after), nil
}

// SetCondition puts c into a status. If the status already has a condition of the
// same type, c replaces it.
func SetCondition(s *api.Status, c api.Condition) {
	for i := range s.Conditions {
		if s.Conditions[i].Type == c.Type {
			s.Conditions[i] = c
			return
		}
	}
	s.Conditions = append(s.Conditions, c)
}

// FindCondition returns the condition of type t in a status. If the status has
// no such condition, it returns false.
func FindCondition(s api.Status, t api.ConditionType) (api.Condition, bool) {
	for _, c := range s.Conditions {
		if c.Type == t {
			return c, true
		}
	}
	return api.Condition{}, false
}
