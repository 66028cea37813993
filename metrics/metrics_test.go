package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"

	"bergamotpin.example/bergamotpin/outcome"
)

// Two instances in one process once met in one registry and panicked.
func TestInstancesCountApart(t *testing.T) {
	a := New("a", "dc1")
	b := New("b", "dc1")
	a.CountRefusal(outcome.QueueFull)
	a.Class("urgent").CountFinal(outcome.Refused)
	for _, m := range []*Metrics{a, b} {
		if err := m.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if text := scrape(a); !strings.Contains(text, `bergamotpin_refusals{data_centre="dc1",instance="a",reason="queue_full"} 1`) {
		t.Errorf("the refusal is missing in:\n%s", text)
	}
	if text := scrape(b); strings.Contains(text, `instance="a"`) {
		t.Errorf("counters of another instance in:\n%s", text)
	}
}

func scrape(m *Metrics) string {
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}
