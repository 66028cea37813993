package reverseproxy

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// promisingStatuses are the statuses that tell a caller that its request did not run.
var promisingStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// unstatedStatuses are those of them that a server which ran the request may answer with: 421 states by
// itself that the request was for another server.
var unstatedStatuses = []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// ownFailures are the forms of a server's own failure, with its status in place of STATUS.
var ownFailures = map[string]string{
	"whole":          "HTTP/1.1 STATUS No\r\nRID: ID\r\nSTAMP: stamp\r\nContent-Length: 4\r\n\r\nfull",
	"time to return": "HTTP/1.1 STATUS No\r\nRID: ID\r\nSTAMP: stamp\r\nRetry-After: 1\r\nContent-Length: 4\r\n\r\nfull",
	"without stamp":  "HTTP/1.1 STATUS No\r\nRID: ID\r\nContent-Length: 4\r\n\r\nfull",
	"without ID":     "HTTP/1.1 STATUS No\r\nContent-Length: 0\r\n\r\n",
	"without length": "HTTP/1.1 STATUS No\r\nRID: ID\r\nSTAMP: stamp\r\n\r\nfull",
	"in chunks":      "HTTP/1.1 STATUS No\r\nRID: ID\r\nSTAMP: stamp\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
	"events":         "HTTP/1.1 STATUS No\r\nRID: ID\r\nSTAMP: stamp\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nd\r\nid: 1\ndata: a\n\r\n1\r\n\n\r\n0\r\n\r\n",
	"cut":            "HTTP/1.1 STATUS No\r\nRID: ID\r\nSTAMP: stamp\r\nContent-Length: 40\r\n\r\nfull",
	"large":          "HTTP/1.1 STATUS No\r\nRID: ID\r\nSTAMP: stamp\r\nContent-Length: 300000\r\n\r\n" + strings.Repeat("x", 300_000),
}

// expectNoPromise checks that the answer to a request that may have run does not say that it did not, and bears no
// server's stamp with a status that the server did not give.
func expectNoPromise(t *testing.T, got response) {
	t.Helper()
	if got.err != nil || got.status != http.StatusBadGateway || got.header.Get(platform.HeaderServerStamp) != "" || got.header.Get(platform.HeaderRetryAfter) != "" {
		t.Errorf("the caller got %.200s, want 502 without a stamp and without a time to return", fmt.Sprintf("%+v", got))
	}
}

// TestOwnFailureOfServerIsNoPromise guards against a server's own 503, 429 or 408 after a run that tells a
// caller that its request did not run, so that it sends its order again.
func TestOwnFailureOfServerIsNoPromise(t *testing.T) {
	for name, answer := range ownFailures {
		for _, status := range unstatedStatuses {
			t.Run(fmt.Sprint(name, "/", status), func(t *testing.T) {
				t.Parallel()
				answer := strings.Replace(wire.Replace(answer), "STATUS", fmt.Sprint(status), 1)
				for _, path := range []string{pathUnsafe, pathSafe, pathStream, pathResumable} {
					f := newFixture(t, 2)
					f.replyWith(0, answer)
					f.replyWith(1, answer)
					expectNoPromise(t, f.do(f.request(path)))
				}
			})
		}
	}
}

// TestOwnFailureWithoutMemoryIsNoPromise guards against the same for an answer for which there is no memory, so
// that it is passed on as it is read.
func TestOwnFailureWithoutMemoryIsNoPromise(t *testing.T) {
	for _, status := range unstatedStatuses {
		f := newFixture(t, 1)
		f.replyWith(0, strings.Replace(wire.Replace(ownFailures["large"]), "STATUS", fmt.Sprint(status), 1))
		f.takeMemory(t)
		expectNoPromise(t, f.do(f.request(pathUnsafe)))
	}
}

// TestHandedOnFailureIsNoPromise guards against the same over another instance: one that passes it on, as
// earlier versions do, and one whose address somebody else has.
func TestHandedOnFailureIsNoPromise(t *testing.T) {
	for name, answer := range ownFailures {
		for _, status := range promisingStatuses {
			if name == "without stamp" && status == http.StatusRequestTimeout {
				// So another instance answers a body that did not come whole.
				continue
			}
			t.Run(fmt.Sprint(name, "/", status), func(t *testing.T) {
				t.Parallel()
				cut := newFixture(t, 1)
				cut.handOnTo(strings.Replace(wire.Replace(answer), "STATUS", fmt.Sprint(status), 1))
				for _, path := range []string{pathUnsafe, pathStream} {
					expectNoPromise(t, cut.do(cut.request(path)))
				}
			})
		}
	}
}

// TestRefusalAfterAPossibleRunIsNoPromise guards against a further server's refusal, true for itself, that
// hides that an earlier server may have run the request.
func TestRefusalAfterAPossibleRunIsNoPromise(t *testing.T) {
	const refusal = "HTTP/1.1 503 No\r\nRID: ID\r\nNOTRUN: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
	for name, first := range map[string]string{
		"own 503": strings.Replace(ownFailures["whole"], "STATUS", "503", 1),
		"own 429": strings.Replace(ownFailures["whole"], "STATUS", "429", 1),
		"closed":  "",
		"cut":     "HTTP/1.1 200 OK\r\nRID: ID\r\nSTAMP: stamp\r\nContent-Length: 40\r\n\r\nfull",
	} {
		t.Run(name, func(t *testing.T) {
			for _, path := range []string{pathSafe, pathResumable} {
				f := newFixture(t, 2)
				f.replyWith(0, wire.Replace(first))
				f.replyWith(1, wire.Replace(refusal))
				for range 4 {
					// Which server comes first is not set; if it is the refusing one, the other one
					// runs the request after it.
					expectNoPromise(t, f.do(f.request(path)))
				}
			}
		})
	}
}

// TestOwnFailureLetsAnotherServerAnswer guards against a server's own 429 or 408 that ends a request which
// another server could answer.
func TestOwnFailureLetsAnotherServerAnswer(t *testing.T) {
	for _, status := range unstatedStatuses {
		f := newFixture(t, 2)
		f.replyWith(0, strings.Replace(wire.Replace(ownFailures["whole"]), "STATUS", fmt.Sprint(status), 1))
		for range 6 {
			f.expectStatus(f.do(f.request(pathSafe)), http.StatusOK)
		}
	}
}

// TestOwnFailureOfFurtherAttemptIsNoPromise guards against a further attempt, made because the first server is
// silent, whose own failure takes the place of the first server's answer.
func TestOwnFailureOfFurtherAttemptIsNoPromise(t *testing.T) {
	for _, status := range unstatedStatuses {
		f := newFixture(t, 2)
		f.setBehaviour(platformtest.Behaviour{Delay: 900 * time.Millisecond})
		got, first := f.doMeanwhile(f.request(pathSafe), func(first int) {
			f.replyWith(1-first, strings.Replace(wire.Replace(ownFailures["whole"]), "STATUS", fmt.Sprint(status), 1))
		})
		f.expectStatus(got, http.StatusOK)
		if want := "by " + f.servers[first].ID; !strings.HasSuffix(got.body, want) {
			t.Errorf("got the body %q, want the answer %s", got.body, want)
		}
	}
}

// TestStatedRefusalStaysAPromise guards against a refusal that a server states, and whose caller is told that the
// request may have run.
func TestStatedRefusalStaysAPromise(t *testing.T) {
	for _, status := range promisingStatuses {
		f := newFixture(t, 1)
		f.replyWith(0, fmt.Sprintf(wire.Replace("HTTP/1.1 %d No\r\nRID: ID\r\nNOTRUN: 1\r\nContent-Length: 0\r\n\r\n"), status))
		got := f.do(f.request(pathUnsafe))
		f.expectStatus(got, http.StatusServiceUnavailable)
		if got.header.Get(platform.HeaderRetryAfter) == "" {
			t.Errorf("status %d: got the header %v, want a time to return", status, got.header)
		}
	}
}
