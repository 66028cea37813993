package reverseproxy

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/edge/backendclient"
	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/platform"
)

// unreadPatience is for how long the body of a request that is turned away is
// waited for.
const unreadPatience = time.Second

// defaultDeadline is how long a request may take whose caller states nothing.
const defaultDeadline = 30 * time.Second

// call is one caller's request, read and checked.
type call struct {
	id      string
	arrived time.Time
	method  string
	host    string
	// target is the path with its query as the caller sent it, and path is the
	// part that selects the route.
	target   string
	path     string
	key      string
	header   http.Header
	body     []byte
	prompt   platform.Prompt
	lastSeen string

	route    *catalog.Route
	org      catalog.Organisation
	service  catalog.Service
	deadline time.Time

	// tried names the servers that were sent to. Ran counts those that may have
	// run the request.
	tried map[string]bool
	sends int
	ran   int
}

// read reads a request and checks what does not change with the configuration.
func (f *Handler) read(w http.ResponseWriter, r *http.Request) (*call, *refusal) {
	c := &call{
		id: r.Header.Get(platform.HeaderRequestID), arrived: time.Now(),
		method: r.Method, host: r.Host, target: requestTarget(r), key: r.Header.Get(platform.HeaderAPIKey),
		prompt: platform.ParsePrompt(r.Header), lastSeen: r.Header.Get(platform.HeaderLastEvent),
	}
	c.path, _, _ = strings.Cut(c.target, "?")
	if r.ContentLength != 0 {
		// net/http reads what is left of a body before it sends an answer. A
		// writer without deadlines is one of a test.
		_ = http.NewResponseController(w).SetReadDeadline(c.arrived.Add(unreadPatience))
	}
	snapshot := f.Catalog.Snapshot()
	if !snapshot.Ready {
		return c, notRun(outcome.NotReady, returnReady)
	}
	if c.id == "" {
		return c, reject(http.StatusBadRequest, outcome.BadRequest, platform.HeaderRequestID+" is missing")
	}
	if refused := c.permit(snapshot); refused != nil {
		return c, refused
	}
	left, err := platform.Deadline(r.Header, defaultDeadline)
	if err != nil {
		return c, reject(http.StatusBadRequest, outcome.BadRequest, err.Error())
	}
	c.deadline = c.arrived.Add(min(left, c.route.Timeout))
	if limit := snapshot.Limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		return c, reject(http.StatusRequestHeaderFieldsTooLarge, outcome.HeaderTooLarge, "the header is above the limit")
	}
	c.header = platform.ForwardedRequestHeader(r.Header)
	return c, c.readBody(w, r, snapshot.Limits.BodyBytes)
}

// requestTarget returns the path and query as they came.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func headerBytes(r *http.Request) int {
	const lineBytes = len(": \r\n")
	n := len(r.Method) + len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + lineBytes
		}
	}
	return n
}

// permit looks up the request's route and key in a configuration.
func (c *call) permit(s *catalog.Snapshot) *refusal {
	route, ok := s.Route(c.host, c.path)
	if !ok {
		return reject(http.StatusNotFound, outcome.UnknownRoute, "no route has this host and path")
	}
	var org catalog.Organisation
	if s.NeedsKey(route) {
		if org, ok = s.Organisation(c.key); !ok {
			return reject(http.StatusUnauthorized, outcome.Unauthorised, "the key is not known")
		}
	}
	name, ok := route.PickService(c.id)
	if !ok {
		return notRun(outcome.NoBackendServer, returnReady)
	}
	service, ok := s.Service(name)
	if !ok {
		return notRun(outcome.NoBackendServer, returnReady)
	}
	c.route, c.org, c.service = route, org, service
	return nil
}

// readBody reads the whole body, so that it can be sent again.
func (c *call) readBody(w http.ResponseWriter, r *http.Request, limit int64) *refusal {
	if r.ContentLength == 0 {
		return nil
	}
	tooLarge := reject(http.StatusRequestEntityTooLarge, outcome.BodyTooLarge, "the body is above the limit")
	if limit > 0 {
		if r.ContentLength > limit {
			return tooLarge
		}
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	control := http.NewResponseController(w)
	// A writer without deadlines is one of a test.
	_ = control.SetReadDeadline(c.deadline)
	body, err := readAll(r)
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		c.body = body
		return nil
	}
	// What is left of the body is not read, so the connection can't be used.
	w.Header().Set("Connection", "close")
	var above *http.MaxBytesError
	if errors.As(err, &above) {
		return tooLarge
	}
	return reject(http.StatusRequestTimeout, outcome.BodyTimeout, "the body did not come whole")
}

func readAll(r *http.Request) ([]byte, error) {
	if r.ContentLength < 0 {
		return io.ReadAll(r.Body)
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	return body, err
}

// priority is the request's rank at an engine.
func (c *call) priority() int {
	if c.org.HasPriority {
		return c.org.Priority
	}
	return c.route.Priority
}

// needs is what a choice has to know.
func (c *call) needs(s *catalog.Snapshot) balancer.Request {
	r := balancer.Request{
		Service: c.service, LatencyTarget: c.route.LatencyTarget, MaxEventGap: c.route.MaxEventGap,
		PromptTokens: c.prompt.Tokens, AnswerTokens: c.prompt.AnswerTokens,
		PrefixBlocks: make([]balancer.PrefixBlock, len(c.prompt.PrefixBlocks)),
	}
	for i, p := range c.prompt.PrefixBlocks {
		r.PrefixBlocks[i] = balancer.PrefixBlock{ID: balancer.PrefixBlockKey(p.ID), Tokens: p.Tokens}
	}
	r.TimeLeft = time.Until(c.deadline)
	r.PriorityIndex, r.PriorityLevels = s.PriorityIndex(c.service.Name, c.route.Priority)
	return r
}

const (
	// answerPatience is how many objectives the first word of an answer is waited
	// for, if another server may give it, and leastPatience the least time.
	answerPatience = 2.5
	leastPatience  = 300 * time.Millisecond
	// expectedPatience is how many times the expected time is waited for.
	expectedPatience = 4
	// eventPatience is for how long the next event of a stream is waited for, if
	// it may go on at another server. Callers leave after two seconds.
	eventPatience = 1200 * time.Millisecond
)

// headBy is until when the attempt's answer must have begun.
func (c *call) headBy(a *balancer.Attempt, now time.Time) time.Time {
	if !c.route.MayRetry() || c.ran+1 >= c.route.MaxServers {
		return c.deadline
	}
	wait := max(time.Duration(answerPatience*float64(c.route.LatencyTarget)), expectedPatience*a.ExpectedDelay, leastPatience)
	return earlier(now.Add(wait), c.deadline)
}

// nextEventBy is until when the next event of a stream must have come.
func (c *call) nextEventBy(now time.Time) time.Time {
	if !c.route.MayRetry() || c.ran+1 >= c.route.MaxServers {
		return c.deadline
	}
	return earlier(now.Add(eventPatience), c.deadline)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// message is the request as it goes to the attempt's server.
func (c *call) message(a *balancer.Attempt, lastEvent string) backendclient.Request {
	h := c.header.Clone()
	h.Set(platform.HeaderDeadline, platform.FormatDeadline(time.Until(c.deadline)))
	h.Set(platform.HeaderExpectServer, a.Server.ID)
	if c.org.Name != "" {
		h.Set(platform.HeaderOrganisation, c.org.Name)
	}
	if c.service.IsEngine() {
		h.Set(platform.HeaderPriority, platform.FormatPriority(c.priority()))
	}
	if lastEvent != "" {
		h.Set(platform.HeaderLastEvent, lastEvent)
	}
	return backendclient.Request{
		Method: c.method, Path: c.target, Host: c.host, Header: h, Body: c.body,
		IDHeader: platform.HeaderRequestID, ID: c.id,
		AtMostOnce: !c.route.MayRetry(), Deadline: c.deadline, HeaderDeadline: c.headBy(a, time.Now()),
	}
}
