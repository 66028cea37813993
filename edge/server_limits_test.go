package edge

import (
	"strings"
	"testing"

	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// TestServerLimitIsLogged checks that the log tells which server names a limit, and when the
// limit ends.
func TestServerLimitIsLogged(t *testing.T) {
	store, server := newPlatform(t)
	store.Put("config", "main", configurationText(1))
	i := startInstance(t, "127.0.0.2", freePort(t, "127.0.0.2"), store.URL, 3)
	await(t, "ready", i.isReady)
	for _, step := range []struct{ limit, want string }{
		{"50", `"server":"i-1","was_limited":false,"was_per_s":0,"is_limited":true,"is_per_s":50`},
		{"several", `"msg":"server limit unreadable"`},
		{"", `"server":"i-1","was_limited":true,"was_per_s":50,"is_limited":false,"is_per_s":0`},
	} {
		server.SetBehaviour(platformtest.Behaviour{ServerLimit: step.limit, Events: 1})
		if status := i.sendPrompt("request", ""); status != 200 {
			t.Errorf("limit %q: got status %d, want 200", step.limit, status)
		}
		await(t, "log line "+step.want, func() bool { return strings.Contains(i.log.String(), step.want) })
	}
}
