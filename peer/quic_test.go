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

func issue(t *testing.T, a *Authority, ip netip.Addr) Identity {
	t.Helper()
	id, err := a.Issue(ip)
	if err != nil {
		t.Fatal(err)
	}
	return id
}

func listen(t *testing.T, id Identity, port uint16) *QUIC {
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

func echo(_ context.Context, from netip.AddrPort, body []byte) ([]byte, error) {
	return append([]byte(from.String()+" "), body...), nil
}

func TestQUICCarriesCallsBothWaysAndEndsItsGoroutines(t *testing.T) {
	defer goleak.VerifyNone(t)
	a := newAuthority(t)
	p, q := mustListen(t, issue(t, a, loopback)), mustListen(t, issue(t, a, loopback))
	p.Handle(KindTickets, echo)
	q.Handle(KindTickets, echo)
	var calls sync.WaitGroup
	for i := range 200 {
		calls.Go(func() {
			from, to := p, q
			if i%2 == 1 {
				from, to = q, p
			}
			body := fmt.Sprint(i)
			got, err := from.Call(t.Context(), to.Local(), KindTickets, []byte(body))
			if want := from.Local().String() + " " + body; err != nil || string(got) != want {
				t.Errorf("got %q, %v, want %q", got, err, want)
			}
		})
	}
	calls.Wait()
	if err := errors.Join(p.Close(), q.Close()); err != nil {
		t.Error(err)
	}
	if got := p.Counters().Sent[KindTickets].Messages; got != 200 {
		t.Errorf("messages sent = %d, want 100 requests and 100 answers", got)
	}
	if _, err := p.Call(t.Context(), q.Local(), KindTickets, nil); !errors.Is(err, ErrClosed) {
		t.Errorf("call after Close: %v", err)
	}
}

func mustListen(t *testing.T, id Identity) *QUIC {
	t.Helper()
	q, err := Listen(Options{Listen: netip.AddrPortFrom(loopback, 0), Identity: id})
	if err != nil {
		t.Fatal(err)
	}
	return q
}

func TestQUICRefusesAnotherAuthority(t *testing.T) {
	good := listen(t, issue(t, newAuthority(t), loopback), 0)
	other := listen(t, issue(t, newAuthority(t), loopback), 0)
	good.Handle(KindTickets, echo)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if _, err := other.Call(ctx, good.Local(), KindTickets, nil); !errors.Is(err, ErrUnreachable) {
		t.Errorf("got %v", err)
	}
}

func TestQUICReportsErrorsByName(t *testing.T) {
	a := newAuthority(t)
	p, q := listen(t, issue(t, a, loopback), 0), listen(t, issue(t, a, loopback), 0)
	q.Handle(KindReports, func(context.Context, netip.AddrPort, []byte) ([]byte, error) {
		return nil, errors.New("no room")
	})
	Handle(q, KindDecisions, func(context.Context, netip.AddrPort, []int) (int, error) { return 0, nil })
	_, err := p.Call(t.Context(), q.Local(), KindTickets, nil)
	if !errors.Is(err, ErrNoHandler) {
		t.Errorf("unknown kind: %v", err)
	}
	_, err = p.Call(t.Context(), q.Local(), KindDecisions, []byte{0xff})
	if !errors.Is(err, ErrMalformed) {
		t.Errorf("malformed: %v", err)
	}
	_, err = p.Call(t.Context(), q.Local(), KindTickets, make([]byte, MaxMessageBytes+1))
	if !errors.Is(err, ErrTooLarge) {
		t.Errorf("too large: %v", err)
	}
	var remote *RemoteError
	if _, err = p.Call(t.Context(), q.Local(), KindReports, nil); !errors.As(err, &remote) || remote.Text != "no room" {
		t.Errorf("handler's error: %v", err)
	}
	want := map[Refusal]uint64{RefusedKind: 1, RefusedMalformed: 1, RefusedHandler: 1}
	if diff := cmp.Diff(want, q.Counters().Refused); diff != "" {
		t.Error(diff)
	}
}

// TestQUICRefusesBadFrames writes frames that no sender of this package makes.
func TestQUICRefusesBadFrames(t *testing.T) {
	a := newAuthority(t)
	id := issue(t, a, loopback)
	q := listen(t, issue(t, a, loopback), 0)
	q.Handle(KindTickets, echo)
	good := appendRequest(nil, request{kind: KindTickets, from: netip.AddrPortFrom(loopback, 9), body: []byte("x")})
	frames := map[Refusal][]byte{
		RefusedVersion:   append([]byte{Version + 1}, good[1:]...),
		RefusedMalformed: append(bytes.Clone(good), 'y'),
		RefusedTooLarge:  append(bytes.Clone(good[:20]), 0xff, 0xff, 0xff, 0xff),
		RefusedAddress:   appendRequest(nil, request{kind: KindTickets, from: netip.MustParseAddrPort("127.0.0.2:9")}),
	}
	conn, err := quic.DialAddr(t.Context(), q.Local().String(), id.clientTLS(loopback.String()), nil)
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
		s, _, err := readAnswer(stream)
		if err != nil || statusRefusals[s] != reason {
			t.Errorf("%v: answered %d, %v", reason, s, err)
		}
		if got := q.Counters().Refused[reason]; got != 1 {
			t.Errorf("%v counted %d times", reason, got)
		}
	}
}

func TestQUICRefusesACertificateUsedFromElsewhere(t *testing.T) {
	a := newAuthority(t)
	q := listen(t, issue(t, a, loopback), 0)
	q.Handle(KindTickets, echo)
	stolen := issue(t, a, netip.MustParseAddr("127.0.0.2"))
	conn, err := quic.DialAddr(t.Context(), q.Local().String(), stolen.clientTLS(loopback.String()), nil)
	if err != nil {
		t.Fatal(err)
	}
	<-conn.Context().Done()
	if got := q.Counters().Refused[RefusedCertificate]; got != 1 {
		t.Errorf("counted %d times", got)
	}
}

// TestQUICReconnectsToARestartedPeer restarts a peer with its key, which resets
// old connections, and with another one, so that they must be given up.
func TestQUICReconnectsToARestartedPeer(t *testing.T) {
	a := newAuthority(t)
	id := issue(t, a, loopback)
	for name, next := range map[string]Identity{"same key": id, "another key": issue(t, a, loopback)} {
		t.Run(name, func(t *testing.T) {
			p := listen(t, issue(t, a, loopback), 0)
			q := mustListen(t, id)
			q.Handle(KindTickets, echo)
			to := q.Local()
			if _, err := p.Call(t.Context(), to, KindTickets, nil); err != nil {
				t.Fatal(err)
			}
			if err := abandon(q); err != nil {
				t.Fatal(err)
			}
			listen(t, next, to.Port()).Handle(KindTickets, echo)
			for range 2 * maxUnanswered {
				giveUp(t, p, to)
				if _, err := callFor(t, p, to, 500*time.Millisecond); err == nil {
					return
				}
			}
			t.Error("not connected again")
		})
	}
}

// abandon ends a transport without a word to its peers, as a crash does.
func abandon(q *QUIC) error {
	if err := q.socket.Close(); err != nil {
		return err
	}
	return q.Close()
}

func callFor(t *testing.T, p *QUIC, to netip.AddrPort, d time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	return p.Call(ctx, to, KindTickets, nil)
}

// giveUp makes a call whose caller does not wait for the answer.
func giveUp(t *testing.T, p *QUIC, to netip.AddrPort) {
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, cancel)
	_, _ = p.Call(ctx, to, KindTickets, nil)
}

// TestQUICBacksOffFromAnAddressWithoutAPeer calls a socket that answers
// nothing.
func TestQUICBacksOffFromAnAddressWithoutAPeer(t *testing.T) {
	a := newAuthority(t)
	p := listen(t, issue(t, a, loopback), 0)
	silent, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(loopback, 0)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	to := silent.LocalAddr().(*net.UDPAddr).AddrPort()
	if _, err := p.Call(t.Context(), to, KindTickets, nil); !errors.Is(err, ErrUnreachable) {
		t.Errorf("first call: %v", err)
	}
	if _, err := p.Call(t.Context(), to, KindTickets, nil); !errors.Is(err, errBackoff) {
		t.Errorf("second call: %v", err)
	}
	if got := p.Counters().Refused[RefusedBackoff]; got != 1 {
		t.Errorf("backoff counted %d times", got)
	}
}
