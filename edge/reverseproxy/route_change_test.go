package reverseproxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
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
	// replace holds pairs of old and new parts of the configuration.
	replace []string
}

const (
	resumableRoute = `"type":"stream","timeout_ms":4000,"slo_ms":300,"service":"s","max_attempts":2,"resumable":true`
	servicesBegin  = `"services":[`
	serviceT       = servicesBegin + `{"name":"t","max_conns":100},`
	routesBegin    = `"routes":[`
)

// longerRoute returns a pair for a routeChange that adds a route of service t with a longer path.
func longerRoute(path, rest string) []string {
	return []string{servicesBegin, serviceT, routesBegin,
		routesBegin + fmt.Sprintf(`{"name":"longer","host":"h.example","path_prefix":%q,"timeout_ms":1500,"slo_ms":100,"service":"t",%s},`, path+"longer/", rest)}
}

// endingChanges are the changes after which a request that may have run must not be sent again.
var endingChanges = map[string]routeChange{
	"safe, made unsafe":            {path: pathSafe, replace: []string{`"type":"safe"`, `"type":"unsafe"`}},
	"safe, for one server only":    {path: pathSafe, replace: []string{`"service":"s","max_attempts":2}`, `"service":"s","max_attempts":1}`}},
	"safe, removed":                {path: pathSafe, replace: []string{`"path_prefix":"/safe/"`, `"path_prefix":"/gone/"`}},
	"safe, unsafe longer path":     {path: pathSafe, replace: longerRoute(pathSafe, `"type":"unsafe","max_attempts":1`)},
	"safe, unsafe for three":       {path: pathSafe, replace: longerRoute(pathSafe, `"type":"unsafe","max_attempts":3`)},
	"unsafe, made safe":            {path: pathUnsafe, replace: []string{`"type":"unsafe"`, `"type":"safe"`, `"service":"s","max_attempts":1}`, `"service":"s","max_attempts":2}`}},
	"unsafe, safe longer path":     {path: pathUnsafe, replace: longerRoute(pathUnsafe, `"type":"safe","max_attempts":3`)},
	"stream, made resumable":       {path: pathStream, stream: true, replace: []string{`"max_attempts":1,"gap_target_ms"`, `"max_attempts":2,"resumable":true,"gap_target_ms"`}},
	"resumable, no longer so":      {path: pathResumable, stream: true, replace: []string{`"resumable":true,`, ""}},
	"resumable, one server only":   {path: pathResumable, stream: true, replace: []string{resumableRoute, strings.Replace(resumableRoute, "2", "1", 1)}},
	"resumable, made unsafe":       {path: pathResumable, stream: true, replace: []string{resumableRoute, strings.Replace(resumableRoute, "stream", "unsafe", 1)}},
	"resumable, unsafe longer one": {path: pathResumable, stream: true, replace: longerRoute(pathResumable, `"type":"unsafe","max_attempts":2`)},
}

// replaceConfiguration puts the changed configuration in force, with a server of service t.
func (f *fixture) replaceConfiguration(c routeChange) {
	f.t.Helper()
	f.putRecord(catalog.KindConfiguration, "main", strings.NewReplacer(c.replace...).Replace(platformtest.Configuration(2, streamTimeoutMs, "key")))
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
					f.replaceConfiguration(c)
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
	for name, c := range map[string]routeChange{
		"other service": {path: pathSafe, replace: longerRoute(pathSafe, `"type":"safe","max_attempts":3`)},
		"same service":  {path: pathSafe, replace: []string{`"timeout_ms":1500`, `"timeout_ms":1400`}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.setBehaviour(platformtest.Behaviour{Hang: true})
			f.addServiceT()
			got, _ := f.doMeanwhile(f.request(c.path+"longer/x"), func(first int) {
				f.replaceConfiguration(c)
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
		f.replaceConfiguration(routeChange{replace: longerRoute(pathSafe, `"type":"safe","max_attempts":3`)})
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
			routeChange{path: pathSafe, replace: []string{`"type":"safe"`, `"type":"stream","resumable":true`}},
			slowWhole, func(id string) string { return "body of request-1 by " + id },
		},
		"stream, made safe": {
			routeChange{path: pathResumable, replace: []string{resumableRoute, strings.Replace(resumableRoute, "stream", "safe", 1)}},
			platformtest.Behaviour{Events: 3, Delay: time.Second, EventPause: 10 * time.Millisecond}, func(id string) string { return streamBody(id, id, id) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.setBehaviour(c.answer)
			got, first := f.doMeanwhile(f.request(c.path), func(first int) {
				f.replaceConfiguration(c.routeChange)
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
	f.replaceConfiguration(endingChanges["stream, made resumable"])
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
			got, _ := f.doMeanwhile(f.request(c.path+"longer/x"), func(int) { f.replaceConfiguration(c) })
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
	toSafe := routeChange{replace: []string{resumableRoute, strings.Replace(resumableRoute, "stream", "safe", 1)}}
	for name, c := range map[string]struct {
		path   string
		change routeChange
		b      platformtest.Behaviour
		status int
		body   string
	}{
		"safe here, unsafe there":   {pathSafe, endingChanges["safe, made unsafe"], platformtest.Behaviour{Status: 500}, 500, "body of request-1 by i-0"},
		"unsafe here, safe there":   {pathUnsafe, endingChanges["unsafe, made safe"], platformtest.Behaviour{}, 200, "body of request-1 by i-0"},
		"stream here, whole there":  {pathResumable, toSafe, platformtest.Behaviour{}, 200, "body of request-1 by i-0"},
		"whole here, stream there":  {pathSafe, routeChange{replace: []string{`"type":"safe"`, `"type":"stream"`}}, platformtest.Behaviour{Events: 3}, 200, streamBody("i-0", "i-0", "i-0")},
		"stream here, events there": {pathResumable, toSafe, platformtest.Behaviour{Events: 3}, 200, streamBody("i-0", "i-0", "i-0")},
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
	for name, rest := range map[string]string{
		"resumable there": `"type":"stream","resumable":true,"max_attempts":3`,
		"safe there":      `"type":"safe","max_attempts":3`,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.setBehaviour(platformtest.Behaviour{Events: 9, EventPause: 100 * time.Millisecond, CutAfterEvents: 2})
			f.addServiceT().SetBehaviour(platformtest.Behaviour{Events: 9})
			got, _ := f.doMeanwhile(f.request(pathResumable+"longer/x"), func(int) {
				f.replaceConfiguration(routeChange{replace: longerRoute(pathResumable, rest)})
			})
			if ran := f.serversThatRan(); len(ran) != 1 || got.err == nil {
				t.Errorf("the stream ran at %v, and the caller got %+v; want one server, and an end that shows that it broke off", ran, got)
			}
		})
	}
}
