package edge

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// usageReport is a report that the platform received.
type usageReport struct {
	Window int64            `json:"window_id"`
	Counts map[string]int64 `json:"counts"`
	holder string
}

// dutyPlatform receives duty calls.
type dutyPlatform struct {
	*httptest.Server
	mu      sync.Mutex
	reports []usageReport
}

func newDutyPlatform(t *testing.T) *dutyPlatform {
	p := &dutyPlatform{}
	p.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		report := usageReport{holder: r.Header.Get(platform.HeaderDutyHolder)}
		if err := json.NewDecoder(r.Body).Decode(&report); err != nil {
			t.Error(err)
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.reports = append(p.reports, report)
	}))
	t.Cleanup(p.Close)
	return p
}

// requests returns how many requests were reported of the organisation, each window counted once,
// and by how many holders.
func (p *dutyPlatform) requests(org string) (sum int64, holders int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	windows, names := make(map[int64]int64), make(map[string]bool)
	for _, r := range p.reports {
		windows[r.Window] = r.Counts[org]
		names[r.holder] = true
	}
	for _, n := range windows {
		sum += n
	}
	return sum, len(names)
}

// TestInstancesReportTheirUsageOnce guards against requests that are missing from the reports, or
// that are in them twice, with several instances, and with a holder that stops.
func TestInstancesReportTheirUsageOnce(t *testing.T) {
	store, server := newPlatform(t)
	server.SetBehaviour(platformtest.Behaviour{Events: 2})
	store.Put("config", "main", platformtest.Configuration(1, 8000, "key"))
	duties := newDutyPlatform(t)
	settings := "bounds.report_window_s=1\nbounds.usage_late_s=4\nbounds.lease_ms=1000\ncloud.duties=usage\ncloud.address=" +
		strings.TrimPrefix(duties.URL, "http://") + "\n"
	port := freePort(t, "127.0.0.2")
	var instances []*testInstance
	for _, ip := range []string{"127.0.0.2", "127.0.0.3", "127.0.0.4"} {
		i := startInstanceFrom(t, Options{LogOutput: &lockedBuffer{}}, settingsText(t, ip, port, store.URL, 1)+settings)
		instances = append(instances, i)
	}
	sent := int64(0)
	send := func(i *testInstance) {
		await(t, "ready", i.isReady)
		req, err := http.NewRequest(http.MethodGet, "http://"+i.settings.Load().CallersAddress.String()+platformtest.PathStream, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = platformtest.Host
		req.Header.Set(platform.HeaderRequestID, "r")
		req.Header.Set(platform.HeaderAPIKey, "key")
		resp, err := http.DefaultClient.Do(req)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("got %+v, error %v", resp, err)
		}
		_ = resp.Body.Close()
		sent++
	}
	for _, i := range instances {
		send(i)
	}
	reported := func() bool { sum, _ := duties.requests("org"); return sum == sent }
	await(t, "the first requests are reported", reported)
	for _, i := range instances {
		if _, held := i.duties.holder.Term(time.Now()); held {
			send(i)
			i.stop()
			<-i.done
			break
		}
	}
	await(t, "the requests of the holder that stopped are reported", reported)
	await(t, "another instance reports", func() bool { _, holders := duties.requests("org"); return holders == 2 })
	if sum, _ := duties.requests("org"); sum != sent {
		t.Errorf("%d requests reported, want %d", sum, sent)
	}
}
