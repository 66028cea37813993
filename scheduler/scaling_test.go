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
	// loadRate is the number of requests a second at each instance.
	loadRate = 10
	// loadDuration is the length of the warm-up, and also the length of the
	// measurement after the warm-up. Requests are submitted during both.
	loadDuration = 5 * time.Second
)

// instanceCost is what one instance uses under load.
type instanceCost struct {
	messages, bytes float64 // tickets, decisions and reports per second, sent and received
	cpu             float64 // microseconds per second, including membership, decision cores and simulated callers
	heap            float64 // KB
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapKB returns the size of the live heap in KB after a garbage collection.
func heapKB() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1024
}

// schedulerTraffic returns the number and bytes of the tickets, decisions and
// reports that all instances have sent and received so far.
func (c *cluster) schedulerTraffic() (messages, bytes float64) {
	for _, n := range c.liveNodes() {
		counters := n.endpoint.Counters()
		for _, k := range []peer.Kind{peer.KindTickets, peer.KindDecisions, peer.KindCompletions} {
			messages += float64(counters.Sent[k].Messages + counters.Received[k].Messages)
			bytes += float64(counters.Sent[k].Bytes + counters.Received[k].Bytes)
		}
	}
	return messages, bytes
}

// measureUnderLoad returns the cost of one instance in a cluster. Its arguments
// are the number of instances, the number of pools, and the number of requests
// per second at each instance.
func measureUnderLoad(t *testing.T, instances, pools, rate int) instanceCost {
	var cost instanceCost
	heapBefore := heapKB()
	runClusterWithPools(t, []int{instances}, pools, func(t *testing.T, c *cluster) {
		for i := range pools {
			c.startRequest(c.liveNodes()[i%instances], false, serviceTime)
		}
		gap := time.Second / time.Duration(rate)
		rounds := int(loadDuration / gap)
		c.loadAll(rounds, gap)
		messages, bytes := c.schedulerTraffic()
		cpuBefore := cpuTime()
		c.loadAll(rounds, gap)
		instanceSeconds := float64(instances) * loadDuration.Seconds()
		cost.cpu = float64((cpuTime() - cpuBefore).Microseconds()) / instanceSeconds
		messagesAfter, bytesAfter := c.schedulerTraffic()
		cost.messages, cost.bytes = (messagesAfter-messages)/instanceSeconds, (bytesAfter-bytes)/instanceSeconds
		cost.heap = (heapKB() - heapBefore) / float64(instances)
		c.finishAndCheck()
	})
	return cost
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

// reportSlopes measures the cost at each point and logs a table and the slope
// of each cost.
func reportSlopes(t *testing.T, variable string, points []int, measure func(n int) instanceCost) {
	var x, messages, bytes, cpu, heap []float64
	var table strings.Builder
	for _, n := range points {
		c := measure(n)
		fmt.Fprintf(&table, "| %d | %.1f | %.0f | %.0f | %.0f |\n", n, c.messages, c.bytes, c.cpu, c.heap)
		x = append(x, float64(n))
		messages = append(messages, c.messages)
		bytes = append(bytes, c.bytes)
		cpu = append(cpu, c.cpu)
		heap = append(heap, c.heap)
	}
	t.Logf("cost of one instance under load: %s, messages/s, bytes/s, processor µs/s, heap KB:\n%sslopes by %s: %.3f messages/s, %.2f bytes/s, %.2f µs/s, %.2f KB",
		variable, &table, variable, slope(x, messages), slope(x, bytes), slope(x, cpu), slope(x, heap))
}

// TestCostByInstances logs how the cost of one instance grows with the number of
// instances. It checks that all requests complete, but sets no limit for the
// cost.
func TestCostByInstances(t *testing.T) {
	reportSlopes(t, "instances", []int{7, 14, 28, 56}, func(n int) instanceCost { return measureUnderLoad(t, n, 26, loadRate) })
}

// TestCostByPools logs how the cost of one instance grows with the number of
// pools. It checks that all requests complete, but sets no limit for the cost.
func TestCostByPools(t *testing.T) {
	reportSlopes(t, "pools", []int{10, 100, 1000, 3000}, func(n int) instanceCost { return measureUnderLoad(t, 7, n, loadRate) })
}

// TestCostByRequestRate logs how the cost of one instance grows with the number
// of requests per second at each instance. It checks that all requests complete,
// but sets no limit for the cost.
func TestCostByRequestRate(t *testing.T) {
	reportSlopes(t, "requests/s", []int{10, 20, 50, 100}, func(n int) instanceCost { return measureUnderLoad(t, 7, 26, n) })
}
