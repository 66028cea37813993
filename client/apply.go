package client

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
)

// Change says what Apply did with a resource.
type Change string

// The changes.
const (
	Created   Change = "created"
	Updated   Change = "updated"
	Unchanged Change = "unchanged"
)

// Apply brings a resource to a spec: it creates it, updates it, or leaves it if
// the spec is the same. A version in obj is the one that must still stand; 0
// takes whatever stands now. With dryRun nothing is written.
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

// sameSpec compares two specs without regard to order and spacing.
func sameSpec(a, b json.RawMessage) (bool, error) {
	left, err := canonical(a)
	if err != nil {
		return false, err
	}
	right, err := canonical(b)
	if err != nil {
		return false, err
	}
	return bytes.Equal(left, right), nil
}

func canonical(raw json.RawMessage) ([]byte, error) {
	var v any
	if err := json.Unmarshal(raw, &v); err != nil {
		return nil, errors.Wrap(err, "spec")
	}
	return json.Marshal(v)
}
