package reverseproxy

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// TestFailedAttemptNamesSharedBlocks guards against logs that don't tell crashes under one
// part of a prompt from crashes of their own.
func TestFailedAttemptNamesSharedBlocks(t *testing.T) {
	f := newFixture(t, 1)
	var log bytes.Buffer
	f.handler.Failures = slog.New(slog.NewJSONHandler(&log, nil))
	f.setBehaviour(platformtest.Behaviour{Status: 500})
	r := f.request(pathUnsafe)
	r.Header.Set(platform.HeaderPrefixBlocks, "a1:100,b2:50,c3:7")
	f.expectStatus(f.do(r), 500)
	want := `"blocks":"` + blockNames(sharedBlocks(platform.ParsePrompt(r.Header).PrefixBlocks)) + `"`
	if strings.Count(want, ",") != 1 || !strings.Contains(log.String(), want) {
		t.Errorf("got log %s; want one attempt failed with two blocks, %s", log.String(), want)
	}
}
