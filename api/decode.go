package api

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"
)

// decodeStrict decodes one JSON value. It fails on unknown fields and on data
// after the value.
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
