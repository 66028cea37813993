package edge

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform/platformtest"
	"bergamotpin.example/bergamotpin/settings"
)

// TestSecondAttemptsByOption guards against a limit in the options that has no effect, and
// against a second attempt that neither a metric nor a log line shows.
func TestSecondAttemptsByOption(t *testing.T) {
	store, server := newPlatform(t)
	other := platformtest.NewBackendServer("i-other", server.Service)
	t.Cleanup(other.Close)
	store.Put("servers", other.ID, other.Entry("ready"))
	store.Put("config", "main", configurationText(1))
	log := &lockedBuffer{}
	options := Options{LogOutput: log, Product: settings.Edge{SecondAttempts: settings.EdgeSecondAttempts{
		Routes: []settings.EdgeShare{{Name: "safe", Share: 0.2}},
	}}}
	i := startInstanceWith(t, options, "127.0.0.2", freePort(t, "127.0.0.2"), store.URL, 3)
	await(t, "ready", i.isReady)
	for n := range 40 {
		if got := i.roundTrip(testRequest{path: platformtest.PathSafe, id: fmt.Sprint("usual-", n)}); got.status != 200 {
			t.Fatalf("got the status %d, want 200", got.status)
		}
	}
	// Longer than answers take before they get a second attempt, and shorter than the time
	// after which a silent server is left.
	slow := platformtest.Behaviour{Delay: 250 * time.Millisecond}
	server.SetBehaviour(slow)
	other.SetBehaviour(slow)
	for n := range 3 {
		i.roundTrip(testRequest{path: platformtest.PathSafe, id: fmt.Sprint("slow-", n)})
	}
	await(t, "the log line of a second attempt", func() bool {
		return strings.Contains(log.String(), `"msg":"second attempt"`) && strings.Contains(log.String(), `"msg":"second attempt ended"`)
	})
	var begun, lost int64
	for _, r := range i.readings() {
		switch {
		case r.Name == "second_attempts":
			begun = r.Value
		case r.Name == "second_attempts_ended" && r.Tags[0].Value == "lost":
			lost = r.Value
		}
	}
	if begun == 0 || lost == 0 {
		t.Errorf("the metrics show %d second attempts, of which %d lost; want some", begun, lost)
	}
}
