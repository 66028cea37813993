package resourcefile

import (
	"encoding/json"
	"math"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"bergamotpin.example/bergamotpin/api"
)

// EncodeTOML encodes the kinds, names and specs of objects as a resource file in
// TOML. If a spec is not a JSON object, it fails.
func EncodeTOML(objects []api.Object) ([]byte, error) {
	var content fileContent
	for _, obj := range objects {
		r := resource{Kind: obj.Kind, Name: obj.Name}
		if err := json.Unmarshal(obj.Spec, &r.Spec); err != nil {
			return nil, errors.Wrapf(err, "%s %s", obj.Kind, obj.Name)
		}
		r.Spec = restoreIntegers(r.Spec).(map[string]any)
		content.Resource = append(content.Resource, r)
	}
	raw, err := toml.Marshal(content)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	return raw, nil
}

// restoreIntegers converts the whole numbers in a decoded JSON value to int64, so
// that TOML writes them as integers. The JSON decoder returns every number as a
// float64.
func restoreIntegers(v any) any {
	switch v := v.(type) {
	case map[string]any:
		for key, item := range v {
			v[key] = restoreIntegers(item)
		}
	case []any:
		for i, item := range v {
			v[i] = restoreIntegers(item)
		}
	case float64:
		if v == math.Trunc(v) && math.Abs(v) < maxExactInteger {
			return int64(v)
		}
	}
	return v
}

// maxExactInteger is 2 to the power of 53. A float64 represents every integer with
// a smaller absolute value exactly.
const maxExactInteger = 1 << 53
