package scheduler

import (
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/peer"
)

const (
	// loadRate is the requests a second at each instance.
	loadRate = 10
	// loadTime is for how long the load goes on before the measurement and
	// during it.
	loadTime = 5 * time.Second
)

// loadCost is what one instance costs under the load.
type loadCost struct {
	messages, bytes float64 // a second, sent and received, of tickets, verdicts and reports
	processor       float64 // microseconds a second, membership, cores and callers included
	heap            float64 // KB
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapKB() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1024
}

func (c *cluster) traffic() (messages, bytes float64) {
	for _, n := range c.live() {
		count := n.endpoint.Counters()
		for _, k := range []peer.Kind{peer.KindTickets, peer.KindDecisions, peer.KindReports} {
			messages += float64(count.Sent[k].Messages + count.Received[k].Messages)
			bytes += float64(count.Sent[k].Bytes + count.Received[k].Bytes)
		}
	}
	return messages, bytes
}

func underLoad(t *testing.T, instances, pools, rate int) loadCost {
	var out loadCost
	before := heapKB()
	runPools(t, []int{instances}, pools, func(t *testing.T, c *cluster) {
		for i := range pools {
			c.request(c.live()[i%instances], false, serviceTime)
		}
		gap := time.Second / time.Duration(rate)
		turns := int(loadTime / gap)
		c.load(turns, gap)
		messages, bytes := c.traffic()
		start := processorTime()
		c.load(turns, gap)
		per := float64(instances) * loadTime.Seconds()
		out.processor = float64((processorTime() - start).Microseconds()) / per
		m, b := c.traffic()
		out.messages, out.bytes = (m-messages)/per, (b-bytes)/per
		out.heap = (heapKB() - before) / float64(instances)
		c.finish()
	})
	return out
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

// slopes measures at each point and prints a table and the slopes.
func slopes(t *testing.T, what string, points []int, measure func(n int) loadCost) {
	var x, messages, bytes, processor, heap []float64
	var table strings.Builder
	for _, n := range points {
		c := measure(n)
		fmt.Fprintf(&table, "| %d | %.1f | %.0f | %.0f | %.0f |\n", n, c.messages, c.bytes, c.processor, c.heap)
		x = append(x, float64(n))
		messages = append(messages, c.messages)
		bytes = append(bytes, c.bytes)
		processor = append(processor, c.processor)
		heap = append(heap, c.heap)
	}
	t.Logf("an instance under load: %s, messages/s, bytes/s, processor µs/s, heap KB:\n%sslopes by %s: %.3f messages/s, %.2f bytes/s, %.2f µs/s, %.2f KB",
		what, &table, what, slope(x, messages), slope(x, bytes), slope(x, processor), slope(x, heap))
}

func TestSlopeByInstances(t *testing.T) {
	slopes(t, "instances", []int{7, 14, 28, 56}, func(n int) loadCost { return underLoad(t, n, 26, loadRate) })
}

func TestSlopeByPools(t *testing.T) {
	slopes(t, "pools", []int{10, 100, 1000, 3000}, func(n int) loadCost { return underLoad(t, 7, n, loadRate) })
}

func TestSlopeByRequests(t *testing.T) {
	slopes(t, "requests/s", []int{10, 20, 50, 100}, func(n int) loadCost { return underLoad(t, 7, 26, n) })
}
