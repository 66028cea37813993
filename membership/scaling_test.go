package membership

import (
	"flag"
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"
)

// instanceCost is the average cost of one instance.
type instanceCost struct {
	messages, bytes float64       // per second, sent plus received
	cpu             time.Duration // per second
	memory          float64       // heap bytes
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// measureIdle measures the cost of idle instances over the given number of
// seconds of virtual time.
func measureIdle(t *testing.T, sizes []int, seconds int) instanceCost {
	var out instanceCost
	before := heapBytes()
	runCluster(t, sizes, func(t *testing.T, c *cluster) {
		time.Sleep(30 * time.Second)
		n := float64(len(c.nodes))
		out.memory = (heapBytes() - before) / n
		messages, bytes := c.traffic()
		start := cpuTime()
		time.Sleep(time.Duration(seconds) * time.Second)
		instanceSeconds := n * float64(seconds)
		out.cpu = time.Duration(float64(cpuTime()-start) / instanceSeconds)
		m, b := c.traffic()
		out.messages, out.bytes = (m-messages)/instanceSeconds, (b-bytes)/instanceSeconds
	})
	return out
}

// traffic returns the messages and bytes that all instances sent and received.
func (c *cluster) traffic() (messages, bytes float64) {
	for _, n := range c.nodes {
		total := n.endpoint.Counters().Total()
		messages += float64(total.Messages)
		bytes += float64(total.Bytes)
	}
	return messages, bytes
}

// slope returns the least-squares slope of y over x.
func slope(x, y []float64) float64 {
	var meanX, meanY float64
	for i := range x {
		meanX += x[i] / float64(len(x))
		meanY += y[i] / float64(len(y))
	}
	var sumXY, sumXX float64
	for i := range x {
		sumXY += (x[i] - meanX) * (y[i] - meanY)
		sumXX += (x[i] - meanX) * (x[i] - meanX)
	}
	return sumXY / sumXX
}

// TestIdleCostGrowthByInstances checks that the messages of an idle instance
// hardly grow with the number of instances, and prints the other costs.
func TestIdleCostGrowthByInstances(t *testing.T) {
	var x, messages, bytes, cpu, memory []float64
	var table strings.Builder
	for _, n := range []int{7, 14, 28, 56} {
		c := measureIdle(t, []int{n}, 10)
		fmt.Fprintf(&table, "| %d | %.1f | %.0f | %.0f | %.1f |\n",
			n, c.messages, c.bytes, float64(c.cpu.Microseconds()), c.memory/1024)
		x = append(x, float64(n))
		messages = append(messages, c.messages)
		bytes = append(bytes, c.bytes)
		cpu = append(cpu, float64(c.cpu.Microseconds()))
		memory = append(memory, c.memory/1024)
	}
	t.Logf("cost of an idle instance by number of instances: instances, messages/s, bytes/s, CPU µs/s, heap KB:\n%sslopes per additional instance: %.3f messages/s, %.1f bytes/s, %.1f µs/s, %.2f KB",
		&table, slope(x, messages), slope(x, bytes), slope(x, cpu), slope(x, memory))
	if got := slope(x, messages); got > 0.1 {
		t.Errorf("messages/s of an idle instance grow by %.2f with each additional instance, want at most 0.1", got)
	}
}

var measureTarget = flag.Bool("target", false, "measure a cluster of 400 instances; takes half a minute")

// TestTrafficAtTargetSize measures the traffic of 400 instances in 11 data
// centres. It also kills one instance and measures how long other instances
// still have it in their views.
func TestTrafficAtTargetSize(t *testing.T) {
	if !*measureTarget {
		t.Skip("needs -target")
	}
	sizes := []int{40, 36, 36, 36, 36, 36, 36, 36, 36, 36, 36}
	runCluster(t, sizes, func(t *testing.T, c *cluster) {
		n := float64(len(c.nodes))
		_, atStart := c.traffic()
		time.Sleep(5 * time.Second)
		_, afterJoin := c.traffic()
		t.Logf("first 5 s after all have joined: %.0f bytes/s per instance", (afterJoin-atStart)/5/n)
		time.Sleep(30 * time.Second)
		_, before := c.traffic()
		time.Sleep(5 * time.Second)
		_, after := c.traffic()
		t.Logf("idle: %.0f bytes/s per instance, limit 21000", (after-before)/5/n)
		killed := testAddress(3, 7)
		c.kill(killed)
		inDataCentre := c.waitFor(20*time.Second, func() bool {
			return c.holdsAtOthers(killed, func(v *View) bool { return v.Self.DataCentre != "dc3" || notInView(killed)(v) })
		})
		elsewhere := c.waitFor(60*time.Second, func() bool { return c.holdsAtOthers(killed, notInView(killed)) })
		_, end := c.traffic()
		t.Logf("killed instance removed from the views of its data centre after %v, from all views after %v; meanwhile %.0f bytes/s per instance",
			inDataCentre, inDataCentre+elsewhere, (end-after)/(inDataCentre+elsewhere).Seconds()/n)
		if rate := (after - before) / 5 / n; rate > 21e3 {
			t.Errorf("%.0f bytes/s per idle instance, want at most 21000", rate)
		}
	})
}
