package client

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
)

// Change is what Apply did with a resource.
type Change string

// The values of Change.
const (
	Created   Change = "created"
	Updated   Change = "updated"
	Unchanged Change = "unchanged"
)

// Apply gives a resource the spec of obj. If the resource does not exist, Apply
// creates it. If the resource already has that spec, Apply writes nothing. If
// obj.Version is 0, Apply updates the version that it has just read. Otherwise
// the update succeeds only if obj.Version is still the current version. If
// dryRun is true, the resource is only validated.
func (c *Client) Apply(ctx context.Context, obj api.Object, dryRun bool) (api.Object, Change, error) {
	current, err := c.Get(ctx, obj.Kind, obj.Name)
	if errors.Is(err, ErrNotFound) {
		obj.Version = 0
		written, err := c.Put(ctx, obj, dryRun)
		return written, Created, err
	}
	if err != nil {
		return api.Object{}, "", err
	}
	same, err := sameSpec(current.Spec, obj.Spec)
	if err != nil {
		return api.Object{}, "", err
	}
	if same {
		return current, Unchanged, nil
	}
	if obj.Version == 0 {
		obj.Version = current.Version
	}
	written, err := c.Put(ctx, obj, dryRun)
	return written, Updated, err
}

// sameSpec compares two specs, ignoring the order of keys and white space.
func sameSpec(a, b json.RawMessage) (bool, error) {
	left, err := canonicalJSON(a)
	if err != nil {
		return false, err
	}
	right, err := canonicalJSON(b)
	if err != nil {
		return false, err
	}
	return bytes.Equal(left, right), nil
}

// canonicalJSON returns raw with sorted keys and without white space.
func canonicalJSON(raw json.RawMessage) ([]byte, error) {
	var v any
	if err := json.Unmarshal(raw, &v); err != nil {
		return nil, errors.Wrap(err, "spec")
	}
	return json.Marshal(v)
}
