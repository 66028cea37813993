package api

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"
)

// decodeStrict reads one JSON value and refuses unknown fields and trailing
// data.
func decodeStrict(raw []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return errors.Wrap(err, "decode")
	}
	if dec.More() {
		return errors.New("decode: trailing data")
	}
	return nil
}
