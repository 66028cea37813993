package config

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/standin/platform"
)

// chaos changes the configuration and switches faults at random.
type chaos struct {
	*fleet
	random *rand.Rand
}

// operate writes, breaks or deletes a resource. The platform may fail it.
func (c *chaos) operate() {
	ctx := c.t.Context()
	name := fmt.Sprintf("s%d", c.random.IntN(3))
	obj, err := c.admin.Get(ctx, api.KindBackendServer, name)
	switch {
	case err == nil && c.random.IntN(4) == 0:
		_ = c.admin.Delete(ctx, obj.Kind, name, obj.Version)
	case err == nil && c.random.IntN(4) == 0:
		obj.Spec = []byte(`{"address":"nowhere"}`)
		_, _ = c.admin.Update(ctx, obj)
	default:
		_, _ = Edit(ctx, c.admin, api.KindBackendServer, name, setSlots(1+c.random.IntN(1000)))
	}
}

func (c *chaos) breakPlatform() {
	f := platform.Faults{
		Latency:           api.Duration(c.random.IntN(800)) * api.Duration(time.Millisecond),
		LoseConfirmations: c.random.Float64() / 2,
	}
	if c.random.IntN(2) == 0 {
		f.StaleReads = api.Duration(c.random.IntN(60)) * api.Duration(time.Second)
	}
	switch c.random.IntN(4) {
	case 0:
		f.Outage = platform.OutageRefuse
	case 1:
		f.Outage = platform.OutageHang
	}
	c.platform.SetFaults(f)
}

// breakMembers cuts, isolates, freezes or replaces one instance.
func (c *chaos) breakMembers() {
	m := c.members[c.random.IntN(len(c.members))]
	switch c.random.IntN(6) {
	case 0:
		m.cut.Store(!m.cut.Load())
	case 1:
		c.network.Isolate(m.address)
	case 2:
		c.network.CutOneWay(m.address, c.members[c.random.IntN(len(c.members))].address)
	case 3:
		c.network.Freeze(m.address)
		time.AfterFunc(20*time.Second, func() { c.network.Thaw(m.address) })
	case 4:
		m.kill()
		m.start()
	default:
		c.network.SetLoss(c.random.Float64() / 2)
	}
}

func (c *chaos) heal() {
	c.noFaults()
	c.network.Heal()
	c.network.SetLoss(0)
	for _, m := range c.members {
		c.network.Thaw(m.address)
		m.cut.Store(false)
	}
}

// converged fails unless all instances are ready and hold the same.
func (c *chaos) converged(seed uint64) {
	want := c.members[0].store.Digest().Sums
	for _, m := range c.members {
		if !m.store.Ready() || m.store.Digest().Sums != want {
			c.t.Errorf("seed %d: instance %d is ready %v and differs %v", seed, m.index, m.store.Ready(), m.store.Digest().Sums != want)
		}
	}
	list, err := c.admin.List(c.t.Context(), api.KindBackendServer)
	if err != nil {
		c.t.Fatal(err)
	}
	snap := c.members[0].store.Snapshot()
	for _, obj := range list.Items {
		if api.Validate(obj) == nil && snap.BackendServers[obj.Name].SpecVersion != obj.SpecVersion {
			c.t.Errorf("seed %d: %s is at version %d, want %d", seed, obj.Name, snap.BackendServers[obj.Name].SpecVersion, obj.SpecVersion)
		}
	}
	if len(snap.BackendServers) > len(list.Items) {
		c.t.Errorf("seed %d: %d servers in force, %d at the platform", seed, len(snap.BackendServers), len(list.Items))
	}
}

func TestNothingRevertsUnderRandomFaults(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 9, 3, platform.Options{Seed: seed, History: 20})
			c := &chaos{fleet: f, random: rand.New(rand.NewPCG(seed, 7))}
			f.startAll()
			f.awaitReady(10 * time.Second)
			for range 40 {
				for range 1 + c.random.IntN(4) {
					c.operate()
				}
				c.breakMembers()
				if c.random.IntN(3) == 0 {
					c.breakPlatform()
				}
				if c.random.IntN(8) == 0 {
					c.heal()
				}
				time.Sleep(time.Duration(c.random.IntN(5000)) * time.Millisecond)
				if t.Failed() {
					t.Fatalf("seed %d", seed)
				}
			}
			c.heal()
			time.Sleep(time.Minute)
			c.converged(seed)
		})
	}
}
