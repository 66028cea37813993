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

// overheadTokens is the length of each answer of the benchmark.
const overheadTokens = 50

// BenchmarkOverhead opens streams directly at a stand-in engine and through the
// router, in one run. It reports what the router adds to the first token, and
// its processor time and memory per stream.
func BenchmarkOverhead(b *testing.B) {
	for _, streams := range []int{1, 100, 2000} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			f, engineURL := newOverheadFixture(b, streams)
			var direct, routed cost
			for b.Loop() {
				direct.add(measure(b, engineURL, "loom-1", streams))
				routed.add(measure(b, f.address, "loom", streams))
			}
			runs := float64(b.N)
			b.ReportMetric(routed.first/direct.first, "first-token-ratio")
			b.ReportMetric((routed.first-direct.first)/runs*1e3, "first-token-added-ms")
			b.ReportMetric((routed.cpu-direct.cpu)/runs/float64(streams)*1e6, "router-cpu-us/stream")
			b.ReportMetric((routed.memory-direct.memory)/runs/float64(streams)/1024, "router-KB/stream")
		})
	}
}

// cost sums up measurements: seconds to the median first token, processor
// seconds and bytes.
type cost struct{ first, cpu, memory float64 }

func (c *cost) add(d cost) {
	c.first += d.first
	c.cpu += d.cpu
	c.memory += d.memory
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

// measure opens the streams at once and reads them to their ends.
func measure(b *testing.B, url, model string, streams int) cost {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	defer client.CloseIdleConnections()
	runtime.GC()
	memory, cpu := memoryInUse(), processorTime()
	firsts := make([]float64, streams)
	var peak float64
	var open, all sync.WaitGroup
	open.Add(streams)
	for n := range streams {
		all.Go(func() { firsts[n] = readStream(b, client, url, model, open.Done) })
	}
	open.Wait()
	peak = memoryInUse()
	all.Wait()
	slices.Sort(firsts)
	return cost{first: firsts[streams/2], cpu: processorTime() - cpu, memory: peak - memory}
}

// readStream returns the seconds to the first token. It calls begun after it.
func readStream(b *testing.B, client *http.Client, url, model string, begun func()) float64 {
	start := time.Now()
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(prompted(model, true, overheadTokens)))
	if err != nil {
		b.Error(err)
	}
	req.Header.Set("Authorization", "Bearer secret")
	resp, err := client.Do(req)
	if err != nil {
		begun()
		b.Error(err)
		return 0
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	lines.Scan()
	first := time.Since(start).Seconds()
	begun()
	last := ""
	for lines.Scan() {
		if lines.Text() != "" {
			last = lines.Text()
		}
	}
	if last != "data: [DONE]" {
		b.Errorf("a stream ended with %q", last)
	}
	return first
}

func memoryInUse() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// processorTime returns the seconds that this process has used.
func processorTime() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}
