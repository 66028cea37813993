package main

import (
	"path/filepath"
	"testing"
)

// TestCheckAcceptsExamples checks that the example files of both companies
// are valid.
func TestCheckAcceptsExamples(t *testing.T) {
	for _, user := range []string{"covor", "andina"} {
		dir := filepath.Join("..", "..", "examples", user)
		settings := []string{filepath.Join(dir, "dc1-1.toml")}
		resources := []string{filepath.Join(dir, "resources.toml")}
		if err := checkFiles(settings, resources, nil); err != nil {
			t.Error(err)
		}
	}
}
