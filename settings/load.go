package settings

import (
	"bytes"
	"fmt"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
)

// Error is one fault in a settings file.
type Error struct {
	File string
	// Line counts from 1. It is 1 if the fault belongs to no line.
	Line  int
	Key   string
	Cause string
}

// Error returns "file:line: key: cause".
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Cause)
}

// Load reads and checks a settings file. A fault in the file's content is
// returned as *Error.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return Parse(path, raw)
}

// Parse reads and checks settings. File names them in errors.
func Parse(file string, raw []byte) (Settings, error) {
	s := Default()
	dec := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Settings{}, decodeError(file, err)
	}
	fault := check(s)
	if fault == nil {
		return s, nil
	}
	return Settings{}, &Error{
		File:  file,
		Line:  lineOf(raw, fault.key),
		Key:   fault.key,
		Cause: fault.cause,
	}
}

// decodeError turns a decoder's error into an *Error.
func decodeError(file string, err error) error {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) && len(missing.Errors) > 0 {
		first := missing.Errors[0]
		line, _ := first.Position()
		return &Error{File: file, Line: line, Key: strings.Join(first.Key(), "."), Cause: "unknown key"}
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		key := strings.Join(decode.Key(), ".")
		if key == "" {
			key = "(syntax)"
		}
		return &Error{File: file, Line: line, Key: key, Cause: strings.TrimPrefix(decode.Error(), "toml: ")}
	}
	return &Error{File: file, Line: 1, Key: "(file)", Cause: err.Error()}
}
