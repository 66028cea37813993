package schedcore

import (
	"encoding/binary"
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain sets the seed of rapid to 1 if no seed is given, so that each run draws
// the same events.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// Only the seed and the length are drawn, because drawn bytes would
		// not be uniformly distributed.
		seed := rapid.Uint64().Draw(rt, "seed")
		data := make([]byte, rapid.IntRange(0, 3000).Draw(rt, "length"))
		source := random{state: seed}
		for i := range data {
			data[i] = byte(source.next())
		}
		newEventDriver(rt, data).run()
	})
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte{0, 0, 13, 1, 5, 0, 9, 13, 1})
	f.Add([]byte{0, 7, 0, 23, 0, 55, 13, 1, 7, 0, 3, 13, 1, 8, 0, 1, 13, 60})
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 4096 {
			return
		}
		newEventDriver(t, data).run()
	})
}

// The test runs the same events on a normal core and on a core with skipEviction
// set. With skipEviction set, requests of lower tiers keep waiting after a refusal
// in a higher tier. The auditor must report inversions only for the core with
// skipEviction.
func TestAuditorDetectsMissingEviction(t *testing.T) {
	for _, skipEviction := range []bool{false, true} {
		core, auditor := New(Options{}), NewAuditor(Options{})
		core.skipEviction = skipEviction
		in, out := Input{Config: overloadConfig()}, Output{}
		inversions := 0
		for tick := range 50 {
			in.Tickets = append(in.Tickets, newTicket(2*tick+1, "batch"), newTicket(2*tick+2, "urgent"))
			now := time.Duration(tick) * 100 * time.Millisecond
			core.Tick(now, &in, &out)
			for _, v := range auditor.Check(now, &in, &out, core.Capacity()) {
				if v.Rule != RuleInversion {
					t.Fatal(v)
				}
				inversions++
			}
			in.Reset()
		}
		if (inversions > 0) != skipEviction {
			t.Errorf("eviction skipped: %v, inversions found: %d; want some only if eviction is skipped", skipEviction, inversions)
		}
	}
}

// overloadConfig returns a pool of one server with 4 slots and two classes:
// urgent in the highest tier, and batch with a floor in a lower tier.
func overloadConfig() *Config {
	return &Config{
		Classes: []Class{
			{Name: "urgent", Tier: 0, FirstToken: time.Second},
			{Name: "batch", Tier: 2, MaxWait: time.Minute, Floor: 0.2},
		},
		Servers: []Server{{Name: "s0", Slots: 4}},
	}
}

func newTicket(n int, class string) Ticket {
	t := Ticket{Class: class, Organisation: "a", Idempotent: true, PromptTokens: 100}
	binary.BigEndian.PutUint64(t.ID[:], uint64(n))
	return t
}
