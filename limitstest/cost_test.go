package limitstest

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform"
)

// tick is the unit of processor time in /proc.
const tick = 10 * time.Millisecond

// cpuTime returns the processor time that the process has used.
func (i *instance) cpuTime(b *testing.B) time.Duration {
	b.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", i.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	// The fields after the name in parentheses; user and system time are the 14th and 15th of all.
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	total := 0
	for _, field := range fields[11:13] {
		n, err := strconv.Atoi(field)
		if err != nil {
			b.Fatal(err)
		}
		total += n
	}
	return time.Duration(total) * tick
}

// BenchmarkOrdinaryRequest measures the processor time that the process takes for a small request
// on a kept connection.
func BenchmarkOrdinaryRequest(b *testing.B) {
	i := startInstance(b, respondShort)
	began := i.cpuTime(b)
	for n := 0; b.Loop(); n++ {
		req, err := http.NewRequest(http.MethodPost, "http://"+i.callers+"/order/1", strings.NewReader("one order"))
		if err != nil {
			b.Fatal(err)
		}
		req.Host = "h.example"
		req.Header.Set(platform.HeaderRequestID, fmt.Sprint("request-", n))
		req.Header.Set(platform.HeaderAPIKey, "key-of-calm")
		req.Header.Set(platform.HeaderDeadline, "5000")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	b.ReportMetric(float64((i.cpuTime(b)-began).Microseconds())/float64(b.N), "process-cpu-us/op")
}
