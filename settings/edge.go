package settings

import (
	"bytes"
	"os"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
)

// Edge holds the product's own options of the edge command. What the platform states is in
// the platform's settings file instead. Each field is a table of the options file. A missing
// table leaves its part at the defaults.
type Edge struct {
	// Callers bounds what callers may use of an instance.
	Callers EdgeCallers `toml:"callers"`
	// SecondAttempts limits the extra attempts that are made for slow answers.
	SecondAttempts EdgeSecondAttempts `toml:"second_attempts"`
}

// EdgeCallers bounds what callers may use of an instance.
type EdgeCallers struct{}

// EdgeSecondAttempts limits the extra attempts that are made for slow answers.
type EdgeSecondAttempts struct{}

// DefaultEdge returns the options that hold without an options file.
func DefaultEdge() Edge { return Edge{} }

// LoadEdge reads and checks an options file of the edge command. It returns an *Error if the
// file's content is invalid.
func LoadEdge(path string) (Edge, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Edge{}, errors.Wrap(err, "options")
	}
	return ParseEdge(path, raw)
}

// ParseEdge parses and checks the content of an options file. Every error is an *Error that
// names the given file.
func ParseEdge(file string, raw []byte) (Edge, error) {
	options := DefaultEdge()
	dec := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := dec.Decode(&options); err != nil {
		return Edge{}, decodeError(file, err)
	}
	if invalid := checkEdge(options); invalid != nil {
		return Edge{}, &Error{File: file, Line: lineOf(raw, invalid.key), Key: invalid.key, Cause: invalid.cause}
	}
	return options, nil
}

// checkEdge returns the first problem that it finds, or nil if there is none.
func checkEdge(o Edge) *problem {
	for _, checkPart := range []func(Edge) *problem{checkEdgeCallers, checkEdgeSecondAttempts} {
		if p := checkPart(o); p != nil {
			return p
		}
	}
	return nil
}

func checkEdgeCallers(Edge) *problem { return nil }

func checkEdgeSecondAttempts(Edge) *problem { return nil }
