package config

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/standin/platform"
)

const (
	costObjects     = 30
	costInstances   = 7
	costDataCentres = 4
	costRest        = 20 * time.Second
	costChanges     = 10
	costSpacing     = 5 * time.Second // between two changes
	costLatency     = 5 * time.Millisecond
	noLimit         = 1e9
)

// usage is what a fleet has used so far.
type usage struct {
	reads, writes, messages, bytes float64
}

func (f *fleet) usage() usage {
	c := f.platform.Counters()
	u := usage{reads: float64(c.Reads + c.Watches + c.WatchSeconds), writes: float64(c.Writes)}
	for _, m := range f.members {
		for _, traffic := range m.end.Counters().Sent {
			u.messages += float64(traffic.Messages)
			u.bytes += float64(traffic.Bytes)
		}
	}
	return u
}

func (u usage) since(before usage) usage {
	return usage{u.reads - before.reads, u.writes - before.writes, u.messages - before.messages, u.bytes - before.bytes}
}

func (u usage) per(n float64) usage {
	return usage{u.reads / n, u.writes / n, u.messages / n, u.bytes / n}
}

// costs is what one size of a fleet was measured to use.
type costs struct {
	rest   usage // a second, over all instances
	change usage // one change, over all instances, what they use at rest taken off
	join   usage // what one more instance received until it was ready
}

func measure(t *testing.T, instances, objectCount int) costs {
	var c costs
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, instances, costDataCentres, platform.Options{ReadsPerSecond: noLimit, WritesPerSecond: noLimit})
		for i := range objectCount {
			f.put(fmt.Sprintf("s%d", i), 1)
		}
		f.startAll()
		f.awaitReady(10 * time.Second)
		f.platform.SetFaults(platform.Faults{Latency: api.Duration(costLatency)})
		firstReports := time.Duration(objectCount/reportsPerInterval) * 2 * reportInterval
		time.Sleep(firstReports + 5*time.Second)
		before := f.usage()
		time.Sleep(costRest)
		c.rest = f.usage().since(before).per(costRest.Seconds())

		before = f.usage()
		for i := range costChanges {
			name := fmt.Sprintf("s%d", i%objectCount)
			f.put(name, 2+i)
			time.Sleep(costSpacing)
		}
		// The operator's own calls, a read and a write, are taken off.
		c.change = f.usage().since(before).per(costChanges).since(c.rest.per(1 / costSpacing.Seconds())).since(usage{reads: 1, writes: 1})

		last := f.members[len(f.members)-1]
		last.kill()
		time.Sleep(10 * time.Second)
		c.join = f.join(last)
	})
	return c
}

// join starts a member and returns what it used until it was ready.
func (f *fleet) join(m *member) usage {
	before := f.platform.Counters().Reads
	m.start()
	f.awaitReady(10 * time.Second)
	u := usage{reads: float64(f.platform.Counters().Reads - before)}
	for _, traffic := range m.end.Counters().Received {
		u.messages += float64(traffic.Messages)
		u.bytes += float64(traffic.Bytes)
	}
	return u
}

// fit returns the least squares line through the points.
func fit(x, y []float64) (slope, intercept float64) {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}

// quantities are the figures that are fitted.
var quantities = []struct {
	name string
	of   func(costs) float64
}{
	{"platform reads a second at rest", func(c costs) float64 { return c.rest.reads }},
	{"platform writes a second at rest", func(c costs) float64 { return c.rest.writes }},
	{"messages between instances a second at rest", func(c costs) float64 { return c.rest.messages }},
	{"bytes between instances a second at rest", func(c costs) float64 { return c.rest.bytes }},
	{"platform reads a change", func(c costs) float64 { return c.change.reads }},
	{"platform writes a change", func(c costs) float64 { return c.change.writes }},
	{"messages between instances a change", func(c costs) float64 { return c.change.messages }},
	{"bytes between instances a change", func(c costs) float64 { return c.change.bytes }},
	{"platform reads a joining instance", func(c costs) float64 { return c.join.reads }},
	{"bytes between instances a joining instance", func(c costs) float64 { return c.join.bytes }},
}

func printFits(t *testing.T, label string, sizes []float64, all []costs) {
	for _, q := range quantities {
		values := make([]float64, len(all))
		for i, c := range all {
			values[i] = q.of(c)
		}
		slope, intercept := fit(sizes, values)
		t.Logf("%-45s by %s %v: %.2f; fit %.2f + %.4f x", q.name, label, sizes, values, intercept, slope)
	}
}

func TestCostByInstances(t *testing.T) {
	sizes := []float64{7, 14, 28, 56}
	var all []costs
	for _, n := range sizes {
		c := measure(t, int(n), costObjects)
		all = append(all, c)
		watches := min(n, costDataCentres*watchersPerDC)
		if c.rest.reads > watches+1 || c.rest.writes != 0 {
			t.Errorf("%v instances: %+v at rest, want %v reads", n, c.rest, watches)
		}
	}
	printFits(t, "instances", sizes, all)
}

func TestCostByObjects(t *testing.T) {
	sizes := []float64{10, 100, 1000, 3000}
	var all []costs
	for _, n := range sizes {
		all = append(all, measure(t, costInstances, int(n)))
	}
	printFits(t, "objects", sizes, all)
}

func TestTimeUntilInForceEverywhere(t *testing.T) {
	for _, latency := range []time.Duration{costLatency, 500 * time.Millisecond} {
		run(t, platform.Options{}, func(t *testing.T, f *fleet) {
			f.platform.SetFaults(platform.Faults{Latency: api.Duration(latency)})
			var times []time.Duration
			for i := range 100 {
				time.Sleep(1370 * time.Millisecond)
				f.put("s", 10+i)
				times = append(times, f.expect("s", 10+i, 3*time.Second))
			}
			slices.Sort(times)
			t.Logf("platform latency %v: in force at all %d instances after the answer to the operator: median %v, largest of %d %v",
				latency, len(f.members), times[len(times)/2], len(times), times[len(times)-1])
		})
	}
}
