package schedcore

import (
	"encoding/binary"
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// The bytes are drawn by seed and length, so that they are spread evenly.
		seed := rapid.Uint64().Draw(rt, "seed")
		data := make([]byte, rapid.IntRange(0, 3000).Draw(rt, "length"))
		source := random{state: seed}
		for i := range data {
			data[i] = byte(source.next())
		}
		newChaos(rt, data).run()
	})
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte{0, 0, 13, 1, 5, 0, 9, 13, 1})
	f.Add([]byte{0, 7, 0, 23, 0, 55, 13, 1, 7, 0, 3, 13, 1, 8, 0, 1, 13, 60})
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 4096 {
			return
		}
		newChaos(t, data).run()
	})
}

// TestAuditorSeesTheRuleTakenOut runs the same events on a core that leaves
// lower tiers waiting when it refuses a higher one.
func TestAuditorSeesTheRuleTakenOut(t *testing.T) {
	for _, noRule := range []bool{false, true} {
		core, auditor := New(Options{}), NewAuditor(Options{})
		core.noRule = noRule
		in, out := Input{Config: overloadConfig()}, Output{}
		found := 0
		for tick := range 50 {
			in.Tickets = append(in.Tickets, ticketOf(2*tick+1, "batch"), ticketOf(2*tick+2, "urgent"))
			now := time.Duration(tick) * 100 * time.Millisecond
			core.Tick(now, &in, &out)
			for _, v := range auditor.Check(now, &in, &out, core.Capacity()) {
				if v.Rule != RuleInversion {
					t.Fatal(v)
				}
				found++
			}
			in.Reset()
		}
		if (found > 0) != noRule {
			t.Errorf("rule taken out: %v, inversions found: %d", noRule, found)
		}
	}
}

func overloadConfig() *Config {
	return &Config{
		Classes: []Class{
			{Name: "urgent", Tier: 0, FirstToken: time.Second},
			{Name: "batch", Tier: 2, MaxWait: time.Minute, Floor: 0.2},
		},
		Servers: []Server{{Name: "s0", Slots: 4}},
	}
}

func ticketOf(n int, class string) Ticket {
	t := Ticket{Class: class, Organisation: "a", Idempotent: true, PromptTokens: 100}
	binary.BigEndian.PutUint64(t.ID[:], uint64(n))
	return t
}
