package resourcefile

import (
	"encoding/json"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"bergamotpin.example/bergamotpin/api"
)

// TOML returns the objects' specs as the content of a resource file.
func TOML(objects []api.Object) ([]byte, error) {
	var f file
	for _, obj := range objects {
		r := resource{Kind: obj.Kind, Name: obj.Name}
		if err := json.Unmarshal(obj.Spec, &r.Spec); err != nil {
			return nil, errors.Wrapf(err, "%s %s", obj.Kind, obj.Name)
		}
		f.Resource = append(f.Resource, r)
	}
	raw, err := toml.Marshal(f)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	return raw, nil
}
