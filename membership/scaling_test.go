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

// cost is what one instance costs on average.
type cost struct {
	messages, bytes float64       // a second, sent and received
	processor       time.Duration // for a second
	memory          float64       // bytes on the heap
}

// processorTime is the time that this process computed.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// rest measures instances at rest over some virtual seconds.
func rest(t *testing.T, sizes []int, seconds int) cost {
	var out cost
	before := heap()
	run(t, sizes, func(t *testing.T, c *cluster) {
		time.Sleep(30 * time.Second)
		n := float64(len(c.nodes))
		out.memory = (heap() - before) / n
		messages, bytes := c.traffic()
		start := processorTime()
		time.Sleep(time.Duration(seconds) * time.Second)
		per := n * float64(seconds)
		out.processor = time.Duration(float64(processorTime()-start) / per)
		m, b := c.traffic()
		out.messages, out.bytes = (m-messages)/per, (b-bytes)/per
	})
	return out
}

func (c *cluster) traffic() (messages, bytes float64) {
	for _, n := range c.nodes {
		total := n.endpoint.Counters().Total()
		messages += float64(total.Messages)
		bytes += float64(total.Bytes)
	}
	return messages, bytes
}

// slope is the least-squares slope of y over x.
func slope(x, y []float64) float64 {
	var mx, my float64
	for i := range x {
		mx += x[i] / float64(len(x))
		my += y[i] / float64(len(y))
	}
	var sxy, sxx float64
	for i := range x {
		sxy += (x[i] - mx) * (y[i] - my)
		sxx += (x[i] - mx) * (x[i] - mx)
	}
	return sxy / sxx
}

func TestSlopeByInstances(t *testing.T) {
	var x, messages, bytes, processor, memory []float64
	var table strings.Builder
	for _, n := range []int{7, 14, 28, 56} {
		c := rest(t, []int{n}, 10)
		fmt.Fprintf(&table, "| %d | %.1f | %.0f | %.0f | %.1f |\n",
			n, c.messages, c.bytes, float64(c.processor.Microseconds()), c.memory/1024)
		x = append(x, float64(n))
		messages = append(messages, c.messages)
		bytes = append(bytes, c.bytes)
		processor = append(processor, float64(c.processor.Microseconds()))
		memory = append(memory, c.memory/1024)
	}
	t.Logf("an instance at rest: instances, messages/s, bytes/s, processor µs/s, heap KB:\n%sslopes: %.3f messages/s, %.1f bytes/s, %.1f µs/s, %.2f KB an instance",
		&table, slope(x, messages), slope(x, bytes), slope(x, processor), slope(x, memory))
	if got := slope(x, messages); got > 0.1 {
		t.Errorf("messages grow by %.2f/s with each instance", got)
	}
}

var atTarget = flag.Bool("target", false, "measure 400 instances, which takes half a minute")

// TestSlopeAtTheTarget has 400 instances in 11 data centres, of which one is
// killed on the way.
func TestSlopeAtTheTarget(t *testing.T) {
	if !*atTarget {
		t.Skip("needs -target")
	}
	sizes := []int{40, 36, 36, 36, 36, 36, 36, 36, 36, 36, 36}
	run(t, sizes, func(t *testing.T, c *cluster) {
		n := float64(len(c.nodes))
		_, begin := c.traffic()
		time.Sleep(5 * time.Second)
		_, settling := c.traffic()
		t.Logf("just after all joined: %.0f bytes/s an instance", (settling-begin)/5/n)
		time.Sleep(30 * time.Second)
		_, before := c.traffic()
		time.Sleep(5 * time.Second)
		_, after := c.traffic()
		t.Logf("at rest: %.0f bytes/s an instance", (after-before)/5/n)
		gone := address(3, 7)
		c.kill(gone)
		own := c.within(20*time.Second, func() bool {
			return c.others(gone, func(v *View) bool { return v.Self.DataCentre != "dc3" || absent(gone)(v) })
		})
		all := c.within(60*time.Second, func() bool { return c.others(gone, absent(gone)) })
		_, end := c.traffic()
		t.Logf("a killed one is out of its data centre's views after %v, out of all after %v; %.0f bytes/s an instance meanwhile",
			own, own+all, (end-after)/(own+all).Seconds()/n)
		if rate := (after - before) / 5 / n; rate > 21e3 {
			t.Errorf("%.0f bytes/s an instance", rate)
		}
	})
}
