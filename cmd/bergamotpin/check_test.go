package main

import (
	"path/filepath"
	"testing"
)

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
