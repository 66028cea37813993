package settings

import (
	"bytes"
	"fmt"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
)

// Error describes the first problem in a settings file.
type Error struct {
	File string
	// Line is the number of the line, counted from 1. It is 1 if the problem
	// belongs to no line.
	Line  int
	Key   string
	Cause string
}

// Error returns "file:line: key: cause".
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Cause)
}

// Load reads and checks a settings file. It returns an *Error if the file's
// content is invalid.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return Parse(path, raw)
}

// Parse parses and checks the content of a settings file. Every error is an *Error
// that names the given file.
func Parse(file string, raw []byte) (Settings, error) {
	settings := Default()
	dec := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := dec.Decode(&settings); err != nil {
		return Settings{}, decodeError(file, err)
	}
	invalid := check(settings)
	if invalid == nil {
		return settings, nil
	}
	return Settings{}, &Error{
		File:  file,
		Line:  lineOf(raw, invalid.key),
		Key:   invalid.key,
		Cause: invalid.cause,
	}
}

// decodeError converts an error of the TOML decoder into an *Error.
func decodeError(file string, err error) error {
	var strictErr *toml.StrictMissingError
	if errors.As(err, &strictErr) && len(strictErr.Errors) > 0 {
		first := strictErr.Errors[0]
		line, _ := first.Position()
		return &Error{File: file, Line: line, Key: strings.Join(first.Key(), "."), Cause: "unknown key"}
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		key := strings.Join(decodeErr.Key(), ".")
		if key == "" {
			key = "(syntax)"
		}
		return &Error{File: file, Line: line, Key: key, Cause: strings.TrimPrefix(decodeErr.Error(), "toml: ")}
	}
	return &Error{File: file, Line: 1, Key: "(file)", Cause: err.Error()}
}
