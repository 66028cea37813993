package reverseproxy

import (
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// cpuTime is the processor time that the process has used so far.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// benchmarkRequests sends requests either directly to the server or through the
// Handler, and reports the processor time per request. The time includes that
// of the caller and the server, which run in the same process.
func benchmarkRequests(b *testing.B, direct bool, behaviour platformtest.Behaviour) {
	f := newFixture(b, 1)
	f.setBehaviour(behaviour)
	if direct {
		f.url = "http://" + f.servers[0].Address
	}
	began := cpuTime(b)
	for b.Loop() {
		r := f.request(pathStream)
		r.Header.Set(platform.HeaderExpectServer, "i-0")
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			b.Fatal(err)
		}
		_ = resp.Body.Close()
	}
	b.ReportMetric(float64((cpuTime(b)-began).Microseconds())/float64(b.N), "cpu-us/op")
}

func BenchmarkWholeResponseDirect(b *testing.B) {
	benchmarkRequests(b, true, platformtest.Behaviour{})
}

func BenchmarkWholeResponse(b *testing.B) { benchmarkRequests(b, false, platformtest.Behaviour{}) }

func BenchmarkStreamDirect(b *testing.B) {
	benchmarkRequests(b, true, platformtest.Behaviour{Events: 30, EventPause: time.Millisecond})
}

func BenchmarkStream(b *testing.B) {
	benchmarkRequests(b, false, platformtest.Behaviour{Events: 30, EventPause: time.Millisecond})
}
