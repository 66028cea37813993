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

// Error describes the first problem in a resource file.
type Error struct {
	File string
	// Line is the number of the line, counted from 1. It is 1 if the problem
	// belongs to no line.
	Line int
	// Key is the invalid key, or the kind and name of the invalid resource.
	Key   string
	Cause string
}

// Error returns "file:line: key: cause".
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Cause)
}

// fileContent is the decoded content of a resource file.
type fileContent struct {
	Resource []resource `toml:"resource" json:"resource"`
}

// resource is one resource as written in a file.
type resource struct {
	Kind api.Kind       `toml:"kind" json:"kind"`
	Name string         `toml:"name" json:"name"`
	Spec map[string]any `toml:"spec" json:"spec"`
}

// Read reads and checks a resource file. It returns an *Error if the file's
// content is invalid.
func Read(path string) ([]api.Object, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "resources")
	}
	return Parse(path, raw)
}

// Parse parses and checks the content of a resource file. The extension of path
// selects the format. Every error is an *Error that names path.
func Parse(path string, raw []byte) ([]api.Object, error) {
	var content fileContent
	if filepath.Ext(path) == ".json" {
		if err := decodeJSON(path, raw, &content); err != nil {
			return nil, err
		}
		return toObjects(path, content, nil)
	}
	dec := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := dec.Decode(&content); err != nil {
		return nil, decodeError(path, err)
	}
	return toObjects(path, content, resourceLines(raw))
}

func decodeJSON(path string, raw []byte, content *fileContent) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(content); err != nil {
		line := 1 + bytes.Count(raw[:dec.InputOffset()], []byte("\n"))
		return &Error{File: path, Line: line, Key: "(file)", Cause: err.Error()}
	}
	return nil
}

func decodeError(path string, err error) error {
	var strictErr *toml.StrictMissingError
	if errors.As(err, &strictErr) && len(strictErr.Errors) > 0 {
		line, _ := strictErr.Errors[0].Position()
		return &Error{File: path, Line: line, Key: strings.Join(strictErr.Errors[0].Key(), "."), Cause: "unknown key"}
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		return &Error{File: path, Line: line, Key: "(syntax)", Cause: strings.TrimPrefix(decodeErr.Error(), "toml: ")}
	}
	return &Error{File: path, Line: 1, Key: "(file)", Cause: err.Error()}
}

// toObjects converts the resources into objects and validates them by the rules by
// which an instance accepts them. The slice lines holds the line of each resource.
// If lines is nil, errors name line 1.
func toObjects(path string, content fileContent, lines []int) ([]api.Object, error) {
	seen := make(map[string]bool)
	var objects []api.Object
	for i, r := range content.Resource {
		line := 1
		if i < len(lines) {
			line = lines[i]
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
		objects = append(objects, obj)
	}
	if len(objects) == 0 {
		return nil, &Error{File: path, Line: 1, Key: "resource", Cause: "the file holds no resource"}
	}
	return objects, nil
}

// resourceLines returns the line of each [[resource]] table.
func resourceLines(raw []byte) []int {
	var lines []int
	parser := unstable.Parser{}
	parser.Reset(raw)
	for parser.NextExpression() {
		node := parser.Expression()
		if node.Kind != unstable.ArrayTable {
			continue
		}
		key := node.Key()
		if !key.Next() || string(key.Node().Data) != "resource" {
			continue
		}
		offset := int(parser.Range(key.Node().Data).Offset)
		lines = append(lines, 1+bytes.Count(raw[:offset], []byte("\n")))
	}
	return lines
}
