package proxy

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/config"
	standin "bergamotpin.example/bergamotpin/standin/engine"
)

// overheadTokens is the number of tokens of each answer in the benchmark.
const overheadTokens = 50

// BenchmarkOverhead opens streams directly at a stand-in engine and through the
// router in the same run. It reports the time that the router adds to the first
// token, and the router's processor time and memory per stream.
func BenchmarkOverhead(b *testing.B) {
	for _, streams := range []int{1, 100, 2000} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			f, engineURL := newOverheadFixture(b, streams)
			var direct, routed cost
			for b.Loop() {
				direct.add(measureStreams(b, engineURL, "loom-1", streams))
				routed.add(measureStreams(b, f.address, "loom", streams))
			}
			runs := float64(b.N)
			b.ReportMetric(routed.first/direct.first, "first-token-ratio")
			b.ReportMetric((routed.first-direct.first)/runs*1e3, "first-token-added-ms")
			b.ReportMetric((routed.cpu-direct.cpu)/runs/float64(streams)*1e6, "router-cpu-us/stream")
			b.ReportMetric((routed.memory-direct.memory)/runs/float64(streams)/1024, "router-KB/stream")
		})
	}
}

// cost holds the median time to the first token in seconds, the processor time
// in seconds and the memory in bytes. Costs can be added up over runs.
type cost struct{ first, cpu, memory float64 }

func (c *cost) add(other cost) {
	c.first += other.first
	c.cpu += other.cpu
	c.memory += other.memory
}

func newOverheadFixture(b *testing.B, streams int) (*fixture, string) {
	b.Helper()
	e := standin.New(standin.Options{MaxBatch: streams + 1, MaxWaiting: streams + 1, TokenTime: 20 * time.Millisecond, BatchSlowdown: -1, PrefillTime: -1})
	b.Cleanup(e.Close)
	server := newServer(b, e)
	servers := map[string]config.Entry[api.BackendServerSpec]{"e": {Name: "e", Spec: api.BackendServerSpec{
		Address: strings.TrimPrefix(server, "http://"), DataCentre: "dc1", Models: []string{"loom-1"}, Slots: 2 * streams,
	}}}
	f := &fixture{engines: []*standin.Server{e}, snapshot: testSnapshot(servers)}
	f.start(b)
	return f, server
}

// measureStreams opens all streams at once and reads each of them to its end. The
// memory is measured when every stream has its first token.
func measureStreams(b *testing.B, url, model string, streams int) cost {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	defer client.CloseIdleConnections()
	runtime.GC()
	memory, cpu := memoryInUse(), cpuSeconds()
	firstTokenTimes := make([]float64, streams)
	var peak float64
	var open, all sync.WaitGroup
	open.Add(streams)
	for n := range streams {
		all.Go(func() { firstTokenTimes[n] = readStream(b, client, url, model, open.Done) })
	}
	open.Wait()
	peak = memoryInUse()
	all.Wait()
	slices.Sort(firstTokenTimes)
	return cost{first: firstTokenTimes[streams/2], cpu: cpuSeconds() - cpu, memory: peak - memory}
}

// readStream reads a stream to its end and returns the time to the first token
// in seconds. It calls started after the first token.
func readStream(b *testing.B, client *http.Client, url, model string, started func()) float64 {
	start := time.Now()
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(chatBody(model, true, overheadTokens)))
	if err != nil {
		b.Error(err)
	}
	req.Header.Set("Authorization", "Bearer secret")
	resp, err := client.Do(req)
	if err != nil {
		started()
		b.Error(err)
		return 0
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	lines.Scan()
	first := time.Since(start).Seconds()
	started()
	last := ""
	for lines.Scan() {
		if lines.Text() != "" {
			last = lines.Text()
		}
	}
	if last != "data: [DONE]" {
		b.Errorf("got %q as the last line of the stream, want data: [DONE]", last)
	}
	return first
}

// memoryInUse returns the size of this process's heap and stacks in bytes.
func memoryInUse() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// cpuSeconds returns the processor time in seconds that this process has used.
func cpuSeconds() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}
