package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"

	"bergamotpin.example/bergamotpin/outcome"
)

// TestInstancesHaveSeparateRegistries runs two instances in one process. They once
// shared a Prometheus registry, which caused a panic.
func TestInstancesHaveSeparateRegistries(t *testing.T) {
	a := New("a", "dc1")
	b := New("b", "dc1")
	a.CountRefusal(outcome.QueueFull)
	a.ForClass("urgent").CountFinal(outcome.Refused)
	for _, m := range []*Metrics{a, b} {
		if err := m.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if text := scrape(a); !strings.Contains(text, `bergamotpin_refusals{data_centre="dc1",instance="a",reason="queue_full"} 1`) {
		t.Errorf("the refusal is missing in the metrics of instance a:\n%s", text)
	}
	if text := scrape(b); strings.Contains(text, `instance="a"`) {
		t.Errorf("the metrics of instance b include some of instance a:\n%s", text)
	}
}

func scrape(m *Metrics) string {
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}
