package reverseproxy

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/memoryaccount"
	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// allowLongBodies has the fixture's configuration allow bodies of 256 KiB, and requests of 20 s on
// the safe route. The account gets the given capacity in bytes.
func (f *fixture) allowLongBodies(capacity int64) {
	f.handler.Memory = memoryaccount.New(capacity, 20*time.Millisecond)
	text := platformtest.Configuration(2, streamTimeoutMs, "key")
	text = strings.Replace(text, `"max_body_bytes":1000`, `"max_body_bytes":262144`, 1)
	f.putRecord(catalog.KindConfiguration, "main", strings.Replace(text, `"timeout_ms":1500`, `"timeout_ms":20000`, 1))
}

// exchangeRaw sends a POST with the given fields and body on a new connection, and returns what comes back
// until the connection ends or the time is over.
func (f *fixture) exchangeRaw(id, fields, body string, wait time.Duration) (string, error) {
	conn, err := net.Dial("tcp4", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(wait))
	head := "POST " + pathSafe + " HTTP/1.1\r\nHost: h.example\r\n" + platform.HeaderRequestID + ": " + id + "\r\n" + platform.HeaderAPIKey + ": key\r\n" + fields + "\r\n"
	if _, err := io.WriteString(conn, head+body); err != nil {
		return "", err
	}
	answer, err := io.ReadAll(conn)
	return string(answer), err
}

// TestRefusedBodyEndsItsConnection guards against a caller that is refused in the middle of its body, sends
// nothing more and keeps its connection, which makes no room for others, until the request's deadline.
func TestRefusedBodyEndsItsConnection(t *testing.T) {
	f := newFixture(t, 1)
	f.allowLongBodies(100)
	answer, err := f.exchangeRaw("r", "Content-Length: 100000\r\n", strings.Repeat("a", 10_000), 5*time.Second)
	if !strings.HasPrefix(answer, "HTTP/1.1 503") || !strings.Contains(answer, "Connection: close") {
		t.Errorf("got %q, want status 503 and the end of the connection", answer)
	}
	if err != nil {
		t.Errorf("got the error %v, want the connection to end", err)
	}
}

// TestAllMemoryIsGivenBack guards against bodies and responses that stay in the account after their
// requests have ended, whichever way they end.
func TestAllMemoryIsGivenBack(t *testing.T) {
	f := newFixture(t, 2)
	f.allowLongBodies(2 << 20)
	f.servers[1].SetBehaviour(platformtest.Behaviour{EndlessBody: strings.Repeat("a", 1000)})
	random := rand.New(rand.NewPCG(1, 2))
	var wait sync.WaitGroup
	for n := range 120 {
		size := random.IntN(250_000)
		body := strings.Repeat("a", size)
		chunk := fmt.Sprintf("%x\r\n%s\r\n", size, body)
		announced := fmt.Sprintf("Content-Length: %d\r\n", size)
		const chunked = "Transfer-Encoding: chunked\r\n"
		kind := [][2]string{
			{announced, body}, {announced, body[:size/2]}, {chunked, chunk + "0\r\n\r\n"}, {chunked, chunk},
			{chunked, chunk + chunk + chunk}, {chunked, chunk + "no chunk\r\n"},
		}[n%6]
		patience := time.Duration(random.IntN(400)+1) * time.Millisecond
		wait.Go(func() { _, _ = f.exchangeRaw(fmt.Sprint("mix-", n), kind[0], kind[1], patience) })
	}
	wait.Wait()
	want := memoryaccount.Usage{Capacity: 2 << 20}
	var got memoryaccount.Usage
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		got = f.handler.Memory.Usage()
		if got.Refused = want.Refused; got == want {
			return
		}
	}
	t.Errorf("10 s after the last request: %+v is held, want nothing", got)
}

// TestLargestBodiesAreServed guards against the refusal of bodies of exactly the operator's limit, and of
// several of them at once while there is memory.
func TestLargestBodiesAreServed(t *testing.T) {
	f := newFixture(t, 1)
	f.allowLongBodies(8 << 20)
	body := strings.Repeat("a", 256<<10)
	var wait sync.WaitGroup
	for n := range 16 {
		fields, text := fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n", len(body)), body
		if n%2 == 0 {
			fields, text = "Connection: close\r\nTransfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		}
		wait.Go(func() {
			if answer, err := f.exchangeRaw(fmt.Sprint("large-", n), fields, text, 20*time.Second); err != nil || !strings.HasPrefix(answer, "HTTP/1.1 200") {
				t.Errorf("request %d: got %.60q, error %v; want status 200", n, answer, err)
			}
		})
	}
	wait.Wait()
}
