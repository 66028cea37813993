package reverseproxy

import (
	"io"
	"net/http"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// routeChange is a new configuration that changes the route of a request on the way.
type routeChange struct {
	// path is the request's, and stream is set if the route was one of streams.
	path   string
	stream bool
	change platformtest.Change
}

// endingChanges are the changes after which a request that may have run must not be sent again.
var endingChanges = map[string]routeChange{
	"safe, made unsafe":            {path: pathSafe, change: platformtest.SafeMadeUnsafe},
	"safe, for one server only":    {path: pathSafe, change: platformtest.SafeAtOneServer},
	"safe, removed":                {path: pathSafe, change: platformtest.SafeRemoved},
	"safe, unsafe longer path":     {path: pathSafe, change: platformtest.WithLongerRoute(pathSafe, "unsafe", 1)},
	"safe, unsafe for three":       {path: pathSafe, change: platformtest.WithLongerRoute(pathSafe, "unsafe", 3)},
	"unsafe, made safe":            {path: pathUnsafe, change: platformtest.UnsafeMadeSafe},
	"unsafe, safe longer path":     {path: pathUnsafe, change: platformtest.WithLongerRoute(pathUnsafe, "safe", 3)},
	"stream, made resumable":       {path: pathStream, stream: true, change: platformtest.StreamMadeResumable},
	"resumable, no longer so":      {path: pathResumable, stream: true, change: platformtest.WithoutResuming},
	"resumable, one server only":   {path: pathResumable, stream: true, change: platformtest.WithOneServer},
	"resumable, made unsafe":       {path: pathResumable, stream: true, change: platformtest.ResumableMadeUnsafe},
	"resumable, unsafe longer one": {path: pathResumable, stream: true, change: platformtest.WithLongerRoute(pathResumable, "unsafe", 2)},
}

// replaceConfiguration puts a changed configuration in force.
func (f *fixture) replaceConfiguration(change platformtest.Change) {
	f.t.Helper()
	f.putRecord(catalog.KindConfiguration, "main", change(platformtest.Configuration(2, streamTimeoutMs, "key")))
}

// addServiceT adds a server of the service t, which has requests under a changed configuration only.
func (f *fixture) addServiceT() *platformtest.BackendServer {
	s := platformtest.NewBackendServer("t-0", "t")
	f.t.Cleanup(s.Close)
	f.servers = append(f.servers, s)
	f.putRecord(catalog.KindServer, s.ID, s.Entry("ready"))
	return s
}

// attemptEnds are the ways in which an attempt ends without an answer for the caller although the
// server may have run the request. The configuration is changed before that.
var attemptEnds = map[string]struct {
	// behaviour is that of all servers at first. If crash is set, the server's process ends.
	behaviour, streams platformtest.Behaviour
	crash              bool
}{
	"crash":        {behaviour: platformtest.Behaviour{Hang: true}, streams: platformtest.Behaviour{Events: 50, EventPause: 50 * time.Millisecond}, crash: true},
	"server error": {behaviour: platformtest.Behaviour{Status: 500, Delay: 150 * time.Millisecond}, streams: platformtest.Behaviour{Status: 500, Delay: 150 * time.Millisecond}},
	"no stamp":     {behaviour: platformtest.Behaviour{NoStamp: true, Delay: 150 * time.Millisecond}, streams: platformtest.Behaviour{NoStamp: true, Delay: 150 * time.Millisecond}},
	"cut":          {behaviour: platformtest.Behaviour{Hang: true}, streams: platformtest.Behaviour{Events: 9, EventPause: 150 * time.Millisecond, CutAfterEvents: 1}, crash: true},
	"silence":      {behaviour: platformtest.Behaviour{Hang: true}, streams: platformtest.Behaviour{Events: 2, PauseAfterEvent: 1, EventPause: 5 * time.Second}},
}

// TestRouteOfNextSendMustAllowIt guards against a second run of a request that ran by another
// route, for which the routes of both sends do not allow it: a new configuration came between.
func TestRouteOfNextSendMustAllowIt(t *testing.T) {
	for endName, end := range attemptEnds {
		for changeName, c := range endingChanges {
			t.Run(endName+", "+changeName, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, 3)
				f.setBehaviour(end.behaviour)
				if c.stream {
					f.setBehaviour(end.streams)
				}
				f.addServiceT()
				got, _ := f.doMeanwhile(f.request(c.path+"longer/x"), func(first int) {
					f.replaceConfiguration(c.change)
					f.setOthers(first, platformtest.Behaviour{})
					if end.crash {
						time.Sleep(50 * time.Millisecond)
						f.servers[first].Crash()
					}
				})
				if ran := f.serversThatRan(); len(ran) != 1 {
					t.Errorf("the request ran at %v, want one server", ran)
				}
				if got.err == nil && (got.status < 500 || got.status == http.StatusServiceUnavailable) {
					t.Errorf("got the status %d and the body %q, want a failure that doesn't say that the request was not run", got.status, got.body)
				}
			})
		}
	}
}

// TestRouteThatStillAllowsItGetsRetry guards against requests that are given up although the routes
// of both sends allow a second run.
func TestRouteThatStillAllowsItGetsRetry(t *testing.T) {
	for name, change := range map[string]platformtest.Change{
		"other service": platformtest.WithLongerRoute(pathSafe, "safe", 3),
		"same service":  platformtest.SafeWithLessTime,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.setBehaviour(platformtest.Behaviour{Hang: true})
			f.addServiceT()
			got, _ := f.doMeanwhile(f.request(pathSafe+"longer/x"), func(first int) {
				f.replaceConfiguration(change)
				f.setOthers(first, platformtest.Behaviour{})
				f.servers[first].Crash()
			})
			f.expectStatus(got, 200)
			if ran := f.serversThatRan(); len(ran) != 2 {
				t.Errorf("the request ran at %v, want two servers", ran)
			}
		})
	}
}

// TestRetryIsTakenFromServiceThatGetsIt guards against a service that gets more retries than its
// budget allows, because they are taken from that of the service to which the route led before.
func TestRetryIsTakenFromServiceThatGetsIt(t *testing.T) {
	f := newFixture(t, 1)
	f.setBehaviour(platformtest.Behaviour{Hang: true})
	other := f.addServiceT()
	for f.handler.Selector.AllowRetry("t") {
	}
	got, _ := f.doMeanwhile(f.request(pathSafe+"longer/x"), func(first int) {
		other.SetBehaviour(platformtest.Behaviour{})
		f.replaceConfiguration(platformtest.WithLongerRoute(pathSafe, "safe", 3))
		f.servers[first].Crash()
	})
	f.expectStatus(got, 502)
	if n := len(other.Received()); n > 0 {
		t.Errorf("the service without retries got %d requests, want none", n)
	}
}

// TestAnswerIsReadByRouteOfItsSend guards against an answer that is lost or held back because a
// new configuration has made another kind of the route while its server was at work.
func TestAnswerIsReadByRouteOfItsSend(t *testing.T) {
	for name, c := range map[string]struct {
		routeChange
		answer platformtest.Behaviour
		want   func(id string) string
	}{
		"whole answer, made a stream": {
			routeChange{path: pathSafe, change: platformtest.SafeMadeResumable},
			slowWhole, func(id string) string { return "body of request-1 by " + id },
		},
		"stream, made safe": {
			routeChange{path: pathResumable, change: platformtest.ResumableMadeSafe},
			platformtest.Behaviour{Events: 3, Delay: time.Second, EventPause: 10 * time.Millisecond}, func(id string) string { return streamBody(id, id, id) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.setBehaviour(c.answer)
			got, first := f.doMeanwhile(f.request(c.path), func(first int) {
				f.replaceConfiguration(c.change)
				f.setOthers(first, platformtest.Behaviour{Hang: true})
			})
			f.expectStatus(got, 200)
			if want := c.want(f.servers[first].ID); got.body != want {
				t.Errorf("got the body %q, want %q", got.body, want)
			}
		})
	}
}

// TestStreamIsTakenUpByResumableRouteOnly guards against a stream that is taken up at any software
// version, because its route became resumable only after the request was read.
func TestStreamIsTakenUpByResumableRouteOnly(t *testing.T) {
	f := newFixture(t, 2)
	f.setBehaviour(platformtest.Behaviour{Events: 5})
	// From its first stream on, the servers' version is one at which streams may begin.
	f.expectStatus(f.do(f.request(pathResumable)), 200)
	for _, s := range f.servers {
		s.ForgetReceived()
	}
	r := f.request(pathStream)
	r.Header.Set(platform.HeaderLastEvent, "2")
	r.Header.Set(platform.HeaderResumes, "of a stream that nobody knows")
	body, write := io.Pipe()
	r.Body, r.ContentLength = body, -1
	got := make(chan response, 1)
	go func() { got <- f.do(r) }()
	_, _ = io.WriteString(write, "half of the body")
	time.Sleep(200 * time.Millisecond)
	f.replaceConfiguration(platformtest.StreamMadeResumable)
	_ = write.Close()
	answer := <-got
	f.expectStatus(answer, 503)
	if ran := f.serversThatRan(); len(ran) > 0 || answer.header.Get(platform.HeaderRetryAfter) == "" {
		t.Errorf("the stream went on at %v, and the answer has the header %v; want no server, and a time to return", ran, answer.header)
	}
}

// TestRefusedRequestGoesByItsNewRoute guards against a request that no server ran and that is given
// up, or sent by its old route, after a new configuration has changed the route.
func TestRefusedRequestGoesByItsNewRoute(t *testing.T) {
	for name, c := range map[string]routeChange{
		"safe, unsafe longer path": endingChanges["safe, unsafe longer path"],
		"unsafe, safe longer path": endingChanges["unsafe, safe longer path"],
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.setBehaviour(platformtest.Behaviour{Refuse: true, Delay: 100 * time.Millisecond})
			f.addServiceT()
			got, _ := f.doMeanwhile(f.request(c.path+"longer/x"), func(int) { f.replaceConfiguration(c.change) })
			f.expectStatus(got, 200)
			if ran := f.serversThatRan(); len(ran) != 1 || ran[0] != "t-0" {
				t.Errorf("the request ran at %v, want t-0", ran)
			}
		})
	}
}

// TestRequestHandedOnKeepsRouteOfItsSend guards against a request that is handed on and runs twice, or
// whose answer is lost, because the other instance has another configuration.
func TestRequestHandedOnKeepsRouteOfItsSend(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		change platformtest.Change
		b      platformtest.Behaviour
		status int
		body   string
	}{
		"safe here, unsafe there":   {pathSafe, platformtest.SafeMadeUnsafe, platformtest.Behaviour{Status: 500}, 500, "body of request-1 by i-0"},
		"unsafe here, safe there":   {pathUnsafe, platformtest.UnsafeMadeSafe, platformtest.Behaviour{}, 200, "body of request-1 by i-0"},
		"stream here, whole there":  {pathResumable, platformtest.ResumableMadeSafe, platformtest.Behaviour{}, 200, "body of request-1 by i-0"},
		"whole here, stream there":  {pathSafe, platformtest.SafeMadeStream, platformtest.Behaviour{Events: 3}, 200, streamBody("i-0", "i-0", "i-0")},
		"stream here, events there": {pathResumable, platformtest.ResumableMadeSafe, platformtest.Behaviour{Events: 3}, 200, streamBody("i-0", "i-0", "i-0")},
	} {
		t.Run(name, func(t *testing.T) {
			cut, peer := newRelayPair(t, c.b)
			peer.replaceConfiguration(c.change)
			got := cut.do(cut.request(c.path))
			cut.expectStatus(got, c.status)
			if got.body != c.body {
				t.Errorf("got the body %q, want %q", got.body, c.body)
			}
			if ran := peer.serversThatRan(); len(ran) != 1 {
				t.Errorf("the request ran at %v, want one server", ran)
			}
		})
	}
}

// TestStreamGoesOnAtItsOwnServiceOnly guards against a stream that is joined from two services, because
// a new configuration leads its path elsewhere.
func TestStreamGoesOnAtItsOwnServiceOnly(t *testing.T) {
	for _, kind := range []string{"resumable", "safe"} {
		t.Run(kind+" there", func(t *testing.T) {
			f := newFixture(t, 2)
			f.setBehaviour(platformtest.Behaviour{Events: 9, EventPause: 100 * time.Millisecond, CutAfterEvents: 2})
			f.addServiceT().SetBehaviour(platformtest.Behaviour{Events: 9})
			got, _ := f.doMeanwhile(f.request(pathResumable+"longer/x"), func(int) {
				f.replaceConfiguration(platformtest.WithLongerRoute(pathResumable, kind, 3))
			})
			if ran := f.serversThatRan(); len(ran) != 1 || got.err == nil {
				t.Errorf("the stream ran at %v, and the caller got %+v; want one server, and an end that shows that it broke off", ran, got)
			}
		})
	}
}
