package resourcefile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"bergamotpin.example/bergamotpin/api"
)

// Error is one fault in a resource file.
type Error struct {
	File string
	// Line counts from 1. It is 1 if the fault belongs to no line.
	Line int
	// Key is the resource or key at fault.
	Key   string
	Cause string
}

// Error returns "file:line: key: cause".
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Cause)
}

// file is the content of a resource file.
type file struct {
	Resource []resource `toml:"resource" json:"resource"`
}

type resource struct {
	Kind api.Kind       `toml:"kind" json:"kind"`
	Name string         `toml:"name" json:"name"`
	Spec map[string]any `toml:"spec" json:"spec"`
}

// Read reads and checks a file. A fault in its content is returned as *Error.
func Read(path string) ([]api.Object, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "resources")
	}
	return Parse(path, raw)
}

// Parse reads and checks the content of the named file.
func Parse(path string, raw []byte) ([]api.Object, error) {
	var f file
	if filepath.Ext(path) == ".json" {
		if err := decodeJSON(path, raw, &f); err != nil {
			return nil, err
		}
		return check(path, f, nil)
	}
	dec := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		return nil, decodeError(path, err)
	}
	return check(path, f, resourceLines(raw))
}

func decodeJSON(path string, raw []byte, f *file) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(f); err != nil {
		line := 1 + bytes.Count(raw[:dec.InputOffset()], []byte("\n"))
		return &Error{File: path, Line: line, Key: "(file)", Cause: err.Error()}
	}
	return nil
}

func decodeError(path string, err error) error {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) && len(missing.Errors) > 0 {
		line, _ := missing.Errors[0].Position()
		return &Error{File: path, Line: line, Key: strings.Join(missing.Errors[0].Key(), "."), Cause: "unknown key"}
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		return &Error{File: path, Line: line, Key: "(syntax)", Cause: strings.TrimPrefix(decode.Error(), "toml: ")}
	}
	return &Error{File: path, Line: 1, Key: "(file)", Cause: err.Error()}
}

// check turns the resources into objects by the rules of every instance.
func check(path string, f file, lines []int) ([]api.Object, error) {
	seen := make(map[string]bool)
	var out []api.Object
	for n, r := range f.Resource {
		line := 1
		if n < len(lines) {
			line = lines[n]
		}
		key := string(r.Kind) + "/" + r.Name
		if seen[key] {
			return nil, &Error{File: path, Line: line, Key: key, Cause: "stands twice in the file"}
		}
		seen[key] = true
		spec, err := json.Marshal(r.Spec)
		if err != nil {
			return nil, &Error{File: path, Line: line, Key: key, Cause: err.Error()}
		}
		obj := api.Object{Kind: r.Kind, Name: r.Name, Spec: spec}
		if err := api.Validate(obj); err != nil {
			return nil, &Error{File: path, Line: line, Key: key, Cause: err.Error()}
		}
		out = append(out, obj)
	}
	if len(out) == 0 {
		return nil, &Error{File: path, Line: 1, Key: "resource", Cause: "the file holds no resource"}
	}
	return out, nil
}

// resourceLines returns the line of each [[resource]].
func resourceLines(raw []byte) []int {
	var lines []int
	p := unstable.Parser{}
	p.Reset(raw)
	for p.NextExpression() {
		node := p.Expression()
		if node.Kind != unstable.ArrayTable {
			continue
		}
		key := node.Key()
		if !key.Next() || string(key.Node().Data) != "resource" {
			continue
		}
		offset := int(p.Range(key.Node().Data).Offset)
		lines = append(lines, 1+bytes.Count(raw[:offset], []byte("\n")))
	}
	return lines
}
