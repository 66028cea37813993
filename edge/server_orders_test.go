package edge

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// scalablePlatform takes orders for the servers of a service, and writes their entries.
type scalablePlatform struct {
	*httptest.Server
	store *platformtest.Store

	mu sync.Mutex
	// groups holds the IDs of the servers by data centre and kind.
	groups  map[string][]string
	started int
	orders  []serverOrder
	// refuse is how many orders are still refused.
	refuse int
}

type serverOrder struct {
	Service, Zone string
	Desired       int
	Spot          bool
	holder, token string
}

func newScalablePlatform(t *testing.T, store *platformtest.Store) *scalablePlatform {
	p := &scalablePlatform{store: store, groups: make(map[string][]string)}
	p.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		order := serverOrder{holder: r.Header.Get(platform.HeaderDutyHolder), token: r.Header.Get(platform.HeaderFencingToken)}
		if err := json.NewDecoder(r.Body).Decode(&order); err != nil || r.URL.Path != "/scale" {
			t.Errorf("got %s, error %v", r.URL.Path, err)
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.orders = append(p.orders, order)
		if p.refuse > 0 {
			p.refuse--
			w.WriteHeader(http.StatusConflict)
			return
		}
		p.scale(order.Zone, order.Spot, order.Desired)
	}))
	t.Cleanup(p.Close)
	return p
}

func (p *scalablePlatform) scale(dataCentre string, spot bool, n int) {
	key := fmt.Sprint(dataCentre, spot)
	for len(p.groups[key]) < n {
		p.started++
		id := fmt.Sprintf("i-%d", p.started)
		p.store.Put("servers", id, fmt.Sprintf(`{"service":"s","address":"127.0.0.9:%d","zone":%q,"version":"v1","slots":64,"state":"ready","seq":1,"born":1,"spot":%t}`,
			20000+p.started, dataCentre, spot))
		p.groups[key] = append(p.groups[key], id)
	}
	for len(p.groups[key]) > n {
		p.store.Delete("servers", p.groups[key][0])
		p.groups[key] = p.groups[key][1:]
	}
}

// counts returns how many servers can't be reclaimed, and how many can.
func (p *scalablePlatform) counts() (kept, reclaimable int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, ids := range p.groups {
		if strings.HasSuffix(key, "true") {
			reclaimable += len(ids)
		} else {
			kept += len(ids)
		}
	}
	return kept, reclaimable
}

// TestInstancesOrderServers guards against a fleet of dear servers that nobody calls, against
// orders of more than one instance, and against a refusal that ends the orders.
func TestInstancesOrderServers(t *testing.T) {
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	config := strings.Replace(platformtest.Configuration(1, 8000, "key"), `"stride":4}`,
		`"stride":4},"autoscale":{"min":1,"max":20,"boot_s":0.2,"spot_price":0.2,"zone_prices":{"dc1":1,"dc2":1,"dc3":1}}`, 1)
	store.Put("config", "main", config)
	api := newScalablePlatform(t, store)
	for _, dc := range []string{"dc1", "dc2", "dc3"} {
		api.scale(dc, false, 10)
	}
	api.refuse = 1
	settings := "bounds.lease_ms=1000\ncloud.duties=scale\ncloud.address=" + strings.TrimPrefix(api.URL, "http://") + "\n"
	port := freePort(t, "127.0.0.2")
	for _, ip := range []string{"127.0.0.2", "127.0.0.3"} {
		startInstanceFrom(t, Options{LogOutput: &lockedBuffer{}}, settingsText(t, ip, port, store.URL, 1)+settings)
	}
	await(t, "most servers are reclaimable", func() bool {
		kept, reclaimable := api.counts()
		return kept < 20 && reclaimable > 15
	})
	if kept, reclaimable := api.counts(); kept+reclaimable < 30 {
		t.Errorf("%d and %d servers are left of 30", kept, reclaimable)
	}
	api.mu.Lock()
	defer api.mu.Unlock()
	for _, o := range api.orders {
		if o.Service != "s" || o.holder != api.orders[0].holder || o.token != api.orders[0].token {
			t.Errorf("got the order %+v after %+v", o, api.orders[0])
		}
	}
}
