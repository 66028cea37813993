package resourcefile

import (
	"encoding/json"
	"math"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"bergamotpin.example/bergamotpin/api"
)

// EncodeTOML returns the objects' specs as the content of a resource file.
func EncodeTOML(objects []api.Object) ([]byte, error) {
	var f file
	for _, obj := range objects {
		r := resource{Kind: obj.Kind, Name: obj.Name}
		if err := json.Unmarshal(obj.Spec, &r.Spec); err != nil {
			return nil, errors.Wrapf(err, "%s %s", obj.Kind, obj.Name)
		}
		r.Spec = integers(r.Spec).(map[string]any)
		f.Resource = append(f.Resource, r)
	}
	raw, err := toml.Marshal(f)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	return raw, nil
}

// integers turns whole numbers, which JSON does not tell from fractions, into
// integers.
func integers(v any) any {
	switch v := v.(type) {
	case map[string]any:
		for key, item := range v {
			v[key] = integers(item)
		}
	case []any:
		for i, item := range v {
			v[i] = integers(item)
		}
	case float64:
		if v == math.Trunc(v) && math.Abs(v) < maxExactFloat {
			return int64(v)
		}
	}
	return v
}

// maxExactFloat is the first whole number after which not every one has a
// float64 of its own.
const maxExactFloat = 1 << 53
