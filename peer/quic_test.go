package peer

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/quic-go/quic-go"
	"go.uber.org/goleak"
)

var loopback = netip.MustParseAddr("127.0.0.1")

func newAuthority(t *testing.T) *Authority {
	t.Helper()
	a, err := NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func issueIdentity(t *testing.T, a *Authority, ip netip.Addr) Identity {
	t.Helper()
	id, err := a.Issue(ip)
	if err != nil {
		t.Fatal(err)
	}
	return id
}

// listenWithCleanup opens a transport that is closed at the end of the test.
func listenWithCleanup(t *testing.T, id Identity, port uint16) *QUIC {
	t.Helper()
	q, err := Listen(Options{Listen: netip.AddrPortFrom(loopback, port), Identity: id})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := q.Close(); err != nil {
			t.Error(err)
		}
	})
	return q
}

// echo responds with the sender's address, a space and the body.
func echo(_ context.Context, from netip.AddrPort, body []byte) ([]byte, error) {
	return append([]byte(from.String()+" "), body...), nil
}

// TestQUICCarriesCallsBothWaysAndEndsItsGoroutines makes parallel calls between
// two transports in both directions. After Close, no goroutine may be left and
// calls must fail.
func TestQUICCarriesCallsBothWaysAndEndsItsGoroutines(t *testing.T) {
	defer goleak.VerifyNone(t)
	authority := newAuthority(t)
	first, second := listenWithoutCleanup(t, issueIdentity(t, authority, loopback)), listenWithoutCleanup(t, issueIdentity(t, authority, loopback))
	first.Handle(KindTickets, echo)
	second.Handle(KindTickets, echo)
	var calls sync.WaitGroup
	for i := range 200 {
		calls.Go(func() {
			from, to := first, second
			if i%2 == 1 {
				from, to = second, first
			}
			body := fmt.Sprint(i)
			got, err := from.Call(t.Context(), to.Local(), KindTickets, []byte(body))
			if want := from.Local().String() + " " + body; err != nil || string(got) != want {
				t.Errorf("response %q, error %v, want the response %q", got, err, want)
			}
		})
	}
	calls.Wait()
	if err := errors.Join(first.Close(), second.Close()); err != nil {
		t.Error(err)
	}
	if got := first.Counters().Sent[KindTickets].Messages; got != 200 {
		t.Errorf("messages sent by the first transport = %d, want 200: 100 requests and 100 responses", got)
	}
	if _, err := first.Call(t.Context(), second.Local(), KindTickets, nil); !errors.Is(err, ErrClosed) {
		t.Errorf("call after Close: got %v, want ErrClosed", err)
	}
}

// listenWithoutCleanup opens a transport that the test closes itself.
func listenWithoutCleanup(t *testing.T, id Identity) *QUIC {
	t.Helper()
	q, err := Listen(Options{Listen: netip.AddrPortFrom(loopback, 0), Identity: id})
	if err != nil {
		t.Fatal(err)
	}
	return q
}

// TestQUICRefusesACertificateOfAnotherAuthority calls an instance whose
// certificate comes from another authority than the caller's. The call must
// fail.
func TestQUICRefusesACertificateOfAnotherAuthority(t *testing.T) {
	receiver := listenWithCleanup(t, issueIdentity(t, newAuthority(t), loopback), 0)
	caller := listenWithCleanup(t, issueIdentity(t, newAuthority(t), loopback), 0)
	receiver.Handle(KindTickets, echo)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if _, err := caller.Call(ctx, receiver.Local(), KindTickets, nil); !errors.Is(err, ErrUnreachable) {
		t.Errorf("call with a certificate of another authority: got %v, want ErrUnreachable", err)
	}
}

// TestQUICReturnsTypedErrors checks the error that the caller gets for each
// kind of failure, and the count of the refusals at the receiver.
func TestQUICReturnsTypedErrors(t *testing.T) {
	authority := newAuthority(t)
	caller, receiver := listenWithCleanup(t, issueIdentity(t, authority, loopback), 0), listenWithCleanup(t, issueIdentity(t, authority, loopback), 0)
	receiver.Handle(KindCompletions, func(context.Context, netip.AddrPort, []byte) ([]byte, error) {
		return nil, errors.New("no capacity left")
	})
	Handle(receiver, KindDecisions, func(context.Context, netip.AddrPort, []int) (int, error) { return 0, nil })
	_, err := caller.Call(t.Context(), receiver.Local(), KindTickets, nil)
	if !errors.Is(err, ErrNoHandler) {
		t.Errorf("call of a kind without a handler: got %v, want ErrNoHandler", err)
	}
	_, err = caller.Call(t.Context(), receiver.Local(), KindDecisions, []byte{0xff})
	if !errors.Is(err, ErrMalformed) {
		t.Errorf("call with a malformed body: got %v, want ErrMalformed", err)
	}
	_, err = caller.Call(t.Context(), receiver.Local(), KindTickets, make([]byte, MaxMessageBytes+1))
	if !errors.Is(err, ErrTooLarge) {
		t.Errorf("call with a body that is too large: got %v, want ErrTooLarge", err)
	}
	var remote *RemoteError
	if _, err = caller.Call(t.Context(), receiver.Local(), KindCompletions, nil); !errors.As(err, &remote) || remote.Text != "no capacity left" {
		t.Errorf("call whose handler failed: got %v, want a RemoteError with the text of the handler's error", err)
	}
	want := map[Refusal]uint64{RefusedNoHandler: 1, RefusedMalformed: 1, RefusedHandler: 1}
	if diff := cmp.Diff(want, receiver.Counters().Refused); diff != "" {
		t.Error(diff)
	}
}

// TestQUICRefusesBadFrames writes frames that this package never sends. Each
// must be refused with its status and counted under its reason.
func TestQUICRefusesBadFrames(t *testing.T) {
	authority := newAuthority(t)
	id := issueIdentity(t, authority, loopback)
	receiver := listenWithCleanup(t, issueIdentity(t, authority, loopback), 0)
	receiver.Handle(KindTickets, echo)
	validFrame := appendRequest(nil, request{kind: KindTickets, from: netip.AddrPortFrom(loopback, 9), body: []byte("x")})
	frames := map[Refusal][]byte{
		RefusedVersion:   append([]byte{Version + 1}, validFrame[1:]...),
		RefusedMalformed: append(bytes.Clone(validFrame), 'y'),
		RefusedTooLarge:  append(bytes.Clone(validFrame[:20]), 0xff, 0xff, 0xff, 0xff),
		RefusedAddress:   appendRequest(nil, request{kind: KindTickets, from: netip.MustParseAddrPort("127.0.0.2:9")}),
	}
	conn, err := quic.DialAddr(t.Context(), receiver.Local().String(), id.clientTLS(loopback.String()), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.CloseWithError(0, "") }()
	for reason, frame := range frames {
		stream, err := conn.OpenStreamSync(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = stream.Write(frame)
		_ = stream.Close()
		s, _, err := readResponse(stream)
		if err != nil || statusRefusals[s] != reason {
			t.Errorf("bad frame (%v): got status %d, error %v, want no error and the status of this refusal", reason, s, err)
		}
		if got := receiver.Counters().Refused[reason]; got != 1 {
			t.Errorf("refusal %v counted %d times, want 1", reason, got)
		}
	}
}

// TestQUICRefusesACertificateFromAnotherAddress connects from 127.0.0.1 with a
// certificate for 127.0.0.2. The connection must be closed and the refusal
// counted.
func TestQUICRefusesACertificateFromAnotherAddress(t *testing.T) {
	authority := newAuthority(t)
	receiver := listenWithCleanup(t, issueIdentity(t, authority, loopback), 0)
	receiver.Handle(KindTickets, echo)
	stolen := issueIdentity(t, authority, netip.MustParseAddr("127.0.0.2"))
	conn, err := quic.DialAddr(t.Context(), receiver.Local().String(), stolen.clientTLS(loopback.String()), nil)
	if err != nil {
		t.Fatal(err)
	}
	<-conn.Context().Done()
	if got := receiver.Counters().Refused[RefusedCertificate]; got != 1 {
		t.Errorf("refused certificate counted %d times, want 1", got)
	}
}

// TestQUICReconnectsToARestartedPeer restarts a peer with the same private key
// and with another one. With the same key, the new process can reset the
// connections of the old process, because resetKey derives the reset key from
// the private key. With another key, the caller must drop the old connection
// after unanswered calls.
func TestQUICReconnectsToARestartedPeer(t *testing.T) {
	authority := newAuthority(t)
	id := issueIdentity(t, authority, loopback)
	for name, restarted := range map[string]Identity{"same key": id, "another key": issueIdentity(t, authority, loopback)} {
		t.Run(name, func(t *testing.T) {
			caller := listenWithCleanup(t, issueIdentity(t, authority, loopback), 0)
			original := listenWithoutCleanup(t, id)
			original.Handle(KindTickets, echo)
			to := original.Local()
			if _, err := caller.Call(t.Context(), to, KindTickets, nil); err != nil {
				t.Fatal(err)
			}
			if err := closeAbruptly(original); err != nil {
				t.Fatal(err)
			}
			listenWithCleanup(t, restarted, to.Port()).Handle(KindTickets, echo)
			for range 2 * maxUnansweredCalls {
				callAndCancel(t, caller, to)
				if _, err := callWithTimeout(t, caller, to, 500*time.Millisecond); err == nil {
					return
				}
			}
			t.Error("no call to the restarted peer succeeded, want the caller to reconnect")
		})
	}
}

// closeAbruptly closes a transport's socket before the transport. So the peers
// are told nothing, as in a crash.
func closeAbruptly(q *QUIC) error {
	if err := q.socket.Close(); err != nil {
		return err
	}
	return q.Close()
}

// callWithTimeout makes a call that ends after d.
func callWithTimeout(t *testing.T, p *QUIC, to netip.AddrPort, d time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	return p.Call(ctx, to, KindTickets, nil)
}

// callAndCancel makes a call that is cancelled before a response can be
// expected.
func callAndCancel(t *testing.T, p *QUIC, to netip.AddrPort) {
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, cancel)
	_, _ = p.Call(ctx, to, KindTickets, nil)
}

// TestQUICBacksOffFromAnUnresponsiveAddress calls a socket that never responds:
// the second call must fail without an attempt to connect.
func TestQUICBacksOffFromAnUnresponsiveAddress(t *testing.T) {
	authority := newAuthority(t)
	caller := listenWithCleanup(t, issueIdentity(t, authority, loopback), 0)
	unresponsive, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(loopback, 0)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unresponsive.Close() }()
	to := unresponsive.LocalAddr().(*net.UDPAddr).AddrPort()
	if _, err := caller.Call(t.Context(), to, KindTickets, nil); !errors.Is(err, ErrUnreachable) {
		t.Errorf("first call: got %v, want ErrUnreachable", err)
	}
	if _, err := caller.Call(t.Context(), to, KindTickets, nil); !errors.Is(err, errBackoff) {
		t.Errorf("second call: got %v, want errBackoff", err)
	}
	if got := caller.Counters().Refused[RefusedBackoff]; got != 1 {
		t.Errorf("backoff counted %d times, want 1", got)
	}
}
