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

// processorTime is the time that the process used so far.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// benchmarkRequests sends requests to the replica itself, or through the front,
// and tells the processor time of each with caller and replica.
func benchmarkRequests(b *testing.B, direct bool, behaviour platformtest.Behaviour) {
	f := newFleet(b, 1)
	f.behave(behaviour)
	if direct {
		f.url = "http://" + f.replicas[0].Address
	}
	began := processorTime(b)
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
	b.ReportMetric(float64((processorTime(b)-began).Microseconds())/float64(b.N), "cpu-us/op")
}

func BenchmarkWholeAnswerDirect(b *testing.B) {
	benchmarkRequests(b, true, platformtest.Behaviour{})
}

func BenchmarkWholeAnswer(b *testing.B) { benchmarkRequests(b, false, platformtest.Behaviour{}) }

func BenchmarkStreamDirect(b *testing.B) {
	benchmarkRequests(b, true, platformtest.Behaviour{Events: 30, EventPause: time.Millisecond})
}

func BenchmarkStream(b *testing.B) {
	benchmarkRequests(b, false, platformtest.Behaviour{Events: 30, EventPause: time.Millisecond})
}
