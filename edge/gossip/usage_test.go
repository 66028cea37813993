package gossip

import (
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bergamotpin.example/bergamotpin/edge/usage"
)

// TestUsageDatagramsAreSmall guards against datagrams with sums that are larger than what is sent
// without fragmentation, with the largest values and names that occur.
func TestUsageDatagramsAreSmall(t *testing.T) {
	address := netip.MustParseAddrPort("255.255.255.255:65535")
	now := time.Now()
	for _, shape := range []struct{ instances, organisations, windows int }{
		{1, 40, 16}, {1, 300, 3}, {300, 0, 3}, {300, 1, 1}, {100, 2, 2}, {60, 40, 3},
	} {
		clock := usage.NewClock(func() time.Duration { return 0 }, now)
		accounts := usage.NewAccounts(usage.AccountsOptions{
			Name: "receiver", Address: address, Started: now, Clock: clock, Window: 5 * time.Second,
		})
		current := now.UnixNano() / int64(5*time.Second)
		for n := range shape.instances {
			for w := range shape.windows {
				// Each window is complete up to another time, so they are sent apart.
				window := usage.WindowSums{Window: current - int64(w)}
				for org := range shape.organisations {
					window.Sums = append(window.Sums, usage.Sum{Organisation: math.MaxUint32 - uint32(org), Count: math.MaxUint32})
				}
				accounts.ReceiveSums(fmt.Sprint(n), []usage.InstanceSums{{
					Instance: usage.InstanceHash(fmt.Sprint(n)), Started: math.MaxInt64,
					ThroughMs: now.UnixMilli() + int64(w), Windows: []usage.WindowSums{window},
				}}, now)
			}
		}
		messages := accounts.SilentSums(now.Add(time.Minute))
		if len(messages) == 0 {
			t.Fatal("no messages")
		}
		most := 0
		for _, m := range messages {
			raw, err := encode(message{
				Cluster: address.String(), Name: "instance-data-centre-of-a-long-name-1234", Started: math.MaxInt64, Address: address,
				DataCentre: "data-centre-of-a-long-name", Usage: m,
			})
			if err != nil {
				t.Fatal(err)
			}
			most = max(most, len(raw))
		}
		if most > maxDatagramBytes {
			t.Errorf("%+v: a datagram of %d bytes, want %d at most", shape, most, maxDatagramBytes)
		}
	}
}

// TestUsageIsAbsentWithoutDuties guards against datagrams that grow in deployments without duties.
func TestUsageIsAbsentWithoutDuties(t *testing.T) {
	raw, err := encode(message{Name: "a", Address: netip.MustParseAddrPort("10.0.0.1:1"), Usage: new(Node).usageNotice(time.Now())})
	if err != nil {
		t.Fatal(err)
	}
	var fields map[int]any
	if err := cbor.Unmarshal(raw, &fields); err != nil {
		t.Fatal(err)
	}
	if _, present := fields[24]; present || len(fields) == 0 {
		t.Errorf("got the fields %v, want no field 24", fields)
	}
}
