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

// Sizes and timings of the cost measurements.
const (
	defaultObjects   = 30
	defaultInstances = 7
	dataCentreCount  = 4
	idleDuration     = 20 * time.Second
	changeCount      = 10
	changeSpacing    = 5 * time.Second // time between two changes
	platformLatency  = 5 * time.Millisecond
	noRateLimit      = 1e9 // calls per second
)

// usage counts the platform calls of a fleet and the messages and bytes between
// its instances.
type usage struct {
	reads, writes, messages, bytes float64
}

// totalUsage returns the usage since the fleet was created. The reads include the
// watches and the reads that the platform counts for each second of an open watch.
func (f *fleet) totalUsage() usage {
	c := f.platform.Counters()
	u := usage{reads: float64(c.Reads + c.Watches + c.WatchSeconds), writes: float64(c.Writes)}
	for _, m := range f.members {
		for _, traffic := range m.endpoint.Counters().Sent {
			u.messages += float64(traffic.Messages)
			u.bytes += float64(traffic.Bytes)
		}
	}
	return u
}

func (u usage) minus(before usage) usage {
	return usage{u.reads - before.reads, u.writes - before.writes, u.messages - before.messages, u.bytes - before.bytes}
}

func (u usage) dividedBy(n float64) usage {
	return usage{u.reads / n, u.writes / n, u.messages / n, u.bytes / n}
}

// costs is the usage measured for one fleet size or number of objects.
type costs struct {
	idle      usage // per second, of all instances together
	perChange usage // per change, of all instances together, without their idle usage
	perJoin   usage // platform reads of a joining instance and what peers sent it until it was ready
}

// measureCosts measures the costs of a fleet with the given numbers of instances
// and of configuration objects.
func measureCosts(t *testing.T, instances, objectCount int) costs {
	var c costs
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, instances, dataCentreCount, platform.Options{ReadsPerSecond: noRateLimit, WritesPerSecond: noRateLimit})
		for i := range objectCount {
			f.putServer(fmt.Sprintf("s%d", i), 1)
		}
		f.startAll()
		f.awaitReady(10 * time.Second)
		f.platform.SetFaults(platform.Faults{Latency: api.Duration(platformLatency)})
		// The reporter needs this long for its first reports on all objects.
		firstReports := time.Duration(objectCount/reportsPerInterval) * 2 * reportInterval
		time.Sleep(firstReports + 5*time.Second)
		before := f.totalUsage()
		time.Sleep(idleDuration)
		c.idle = f.totalUsage().minus(before).dividedBy(idleDuration.Seconds())

		before = f.totalUsage()
		for i := range changeCount {
			name := fmt.Sprintf("s%d", i%objectCount)
			f.putServer(name, 2+i)
			time.Sleep(changeSpacing)
		}
		// Subtract the operator's own calls: one read and one write for each change.
		c.perChange = f.totalUsage().minus(before).dividedBy(changeCount).minus(c.idle.dividedBy(1 / changeSpacing.Seconds())).minus(usage{reads: 1, writes: 1})

		last := f.members[len(f.members)-1]
		last.kill()
		time.Sleep(10 * time.Second)
		c.perJoin = f.measureJoin(last)
	})
	return c
}

// measureJoin starts a member. It returns the reads at the platform and the peer
// messages that the member received, both until the member was ready.
func (f *fleet) measureJoin(m *member) usage {
	before := f.platform.Counters().Reads
	m.start()
	f.awaitReady(10 * time.Second)
	u := usage{reads: float64(f.platform.Counters().Reads - before)}
	for _, traffic := range m.endpoint.Counters().Received {
		u.messages += float64(traffic.Messages)
		u.bytes += float64(traffic.Bytes)
	}
	return u
}

// fitLine returns the least-squares line through the points.
func fitLine(x, y []float64) (slope, intercept float64) {
	n := float64(len(x))
	var sumX, sumY, sumXX, sumXY float64
	for i := range x {
		sumX += x[i]
		sumY += y[i]
		sumXX += x[i] * x[i]
		sumXY += x[i] * y[i]
	}
	slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return slope, (sumY - slope*sumX) / n
}

// fittedFigures lists the costs that logFits fits to a line.
var fittedFigures = []struct {
	name  string
	value func(costs) float64
}{
	{"platform reads per second when idle", func(c costs) float64 { return c.idle.reads }},
	{"platform writes per second when idle", func(c costs) float64 { return c.idle.writes }},
	{"peer messages per second when idle", func(c costs) float64 { return c.idle.messages }},
	{"peer bytes per second when idle", func(c costs) float64 { return c.idle.bytes }},
	{"platform reads per change", func(c costs) float64 { return c.perChange.reads }},
	{"platform writes per change", func(c costs) float64 { return c.perChange.writes }},
	{"peer messages per change", func(c costs) float64 { return c.perChange.messages }},
	{"peer bytes per change", func(c costs) float64 { return c.perChange.bytes }},
	{"platform reads per joining instance", func(c costs) float64 { return c.perJoin.reads }},
	{"peer bytes per joining instance", func(c costs) float64 { return c.perJoin.bytes }},
}

// logFits logs each cost at all sizes and the line fitted to it.
func logFits(t *testing.T, label string, sizes []float64, measured []costs) {
	for _, figure := range fittedFigures {
		values := make([]float64, len(measured))
		for i, c := range measured {
			values[i] = figure.value(c)
		}
		slope, intercept := fitLine(sizes, values)
		t.Logf("%-45s by number of %s %v: %.2f; fitted line: %.2f plus %.4f for each", figure.name, label, sizes, values, intercept, slope)
	}
}

// An idle fleet must not write to the platform, and only its watches may read. The
// test also logs the other costs by number of instances.
func TestCostByInstances(t *testing.T) {
	sizes := []float64{7, 14, 28, 56}
	var measured []costs
	for _, n := range sizes {
		c := measureCosts(t, int(n), defaultObjects)
		measured = append(measured, c)
		watches := min(n, dataCentreCount*watchersPerDC)
		if c.idle.reads > watches+1 || c.idle.writes != 0 {
			t.Errorf("%v instances: idle usage per second %+v, want no writes and at most 1 read more than the number of open watches, which is %v", n, c.idle, watches)
		}
	}
	logFits(t, "instances", sizes, measured)
}

// This test logs the costs by number of configuration objects. It checks no limit.
func TestCostByObjects(t *testing.T) {
	sizes := []float64{10, 100, 1000, 3000}
	var measured []costs
	for _, n := range sizes {
		measured = append(measured, measureCosts(t, defaultInstances, int(n)))
	}
	logFits(t, "objects", sizes, measured)
}

// This test logs how long a change takes until it is in force in all instances. It
// fails if a change takes more than 3 s.
func TestPropagationTime(t *testing.T) {
	for _, latency := range []time.Duration{platformLatency, 500 * time.Millisecond} {
		withReadyFleet(t, platform.Options{}, func(t *testing.T, f *fleet) {
			f.platform.SetFaults(platform.Faults{Latency: api.Duration(latency)})
			var delays []time.Duration
			for i := range 100 {
				time.Sleep(1370 * time.Millisecond)
				f.putServer("s", 10+i)
				delays = append(delays, f.expectSlots("s", 10+i, 3*time.Second))
			}
			slices.Sort(delays)
			t.Logf("platform latency %v: time from the operator's response until in force in all %d instances: median %v, maximum of %d changes %v",
				latency, len(f.members), delays[len(delays)/2], len(delays), delays[len(delays)-1])
		})
	}
}
