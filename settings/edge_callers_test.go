package settings

import (
	"strings"
	"testing"
	"time"
)

// TestEdgeCallersAreChecked guards against bounds of callers that would refuse all of them or hold
// requests for too long.
func TestEdgeCallersAreChecked(t *testing.T) {
	got, err := ParseEdge("f", []byte("[callers]\nmax_connections = 500\nmax_connections_per_address = 20\n"))
	if c := got.Callers; err != nil || c.MaxConnections != 500 || c.MaxConnectionsPerAddress != 20 || c.MemoryWait.Std() != 250*time.Millisecond {
		t.Errorf("got %+v, error %v", got, err)
	}
	for _, line := range []string{"max_connections = -1", "max_connections_per_address = -1", `memory_wait = "0s"`, `memory_wait = "11s"`, "unknown = 1"} {
		key, _, _ := strings.Cut(line, " ")
		if _, err := ParseEdge("f", []byte("[callers]\n"+line+"\n")); err == nil || !strings.Contains(err.Error(), key) || !strings.Contains(err.Error(), "2") {
			t.Errorf("%s: got the error %v, want one with the line and the key", line, err)
		}
	}
}
