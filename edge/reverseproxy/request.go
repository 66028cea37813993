package reverseproxy

import (
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotpin.example/bergamotpin/callerconn"
	"bergamotpin.example/bergamotpin/edge/backendclient"
	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/edge/crashguard"
	"bergamotpin.example/bergamotpin/edge/streamorigin"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/platform"
)

// unreadBodyTimeout limits how long net/http waits for the rest of a body if
// the request is refused before its body was read.
const unreadBodyTimeout = time.Second

// defaultDeadline is the time that a request may take if its caller states no
// deadline.
const defaultDeadline = 30 * time.Second

// request is one caller's request after it was read and checked.
type request struct {
	id      string
	arrived time.Time
	method  string
	host    string
	// target is the path with its query as the caller sent it; path is target
	// without the query and selects the route.
	target string
	path   string
	apiKey string
	header http.Header
	// callerHeader is the header as it came. relayed is set if another instance, which
	// reaches no server, handed the request on.
	callerHeader http.Header
	relayed      bool
	// callerAddress is the address from which the request came.
	callerAddress netip.Addr
	body          body
	prompt        platform.Prompt
	// sharedBlocks holds the keys of the prompt's prefix blocks without the last block,
	// which only this request has.
	sharedBlocks []uint64
	// key stands for what a repeat of the request has in common with it. guardKeys holds this
	// key and the sharedBlocks: what the request may have in common with others that end
	// servers.
	key       uint64
	guardKeys []uint64
	// lastEventID is the ID of the last stream event that the caller already
	// has, or "" if it has none.
	lastEventID string
	// resumes is the ID of the caller's attempt that brought the first event of the stream
	// that this request takes up, or "" if the caller states none.
	resumes string

	// origin is that of the stream whose events the caller has, or nil if it has none.
	origin *streamorigin.Origin
	// callerWaits is until when the caller waits for the response, or for that of a repeat.
	callerWaits time.Time

	// The binding is that of the last send, or of the one that is about to be made. While a
	// response is passed on, it is that of the response's own send.
	binding
	// deadline follows from the route that the request had when it came.
	deadline time.Time

	// tried holds the IDs of the servers that the request was sent to. sends is
	// the number of attempts. possibleRuns holds the routes of the attempts that have ended
	// and whose server may have run the request.
	tried        map[string]bool
	sends        int
	possibleRuns []*catalog.Route
	// passedGuardAt is when the parts of the prompt were last found not to be withheld.
	passedGuardAt time.Time
}

// readRequest reads a caller's request, checks it against the current
// configuration and reads its body.
func (h *Handler) readRequest(w http.ResponseWriter, r *http.Request) (*request, *refusal) {
	req := &request{
		id: r.Header.Get(platform.HeaderRequestID), arrived: time.Now(),
		method: r.Method, host: r.Host, target: requestTarget(r), apiKey: r.Header.Get(platform.HeaderAPIKey),
		prompt: platform.ParsePrompt(r.Header), lastEventID: r.Header.Get(platform.HeaderLastEvent),
		resumes: r.Header.Get(platform.HeaderResumes), callerHeader: r.Header, relayed: r.Header.Get(platform.HeaderRelayed) != "",
		callerAddress: callerconn.Address(r),
	}
	req.path, _, _ = strings.Cut(req.target, "?")
	req.sharedBlocks = sharedBlocks(req.prompt.PrefixBlocks)
	if r.ContentLength != 0 {
		// net/http reads the rest of a request's body before it sends the
		// response, so this read needs a deadline. The error is ignored: only
		// the response writers of tests lack deadlines.
		_ = http.NewResponseController(w).SetReadDeadline(req.arrived.Add(unreadBodyTimeout))
	}
	snapshot := h.Catalog.Snapshot()
	if !snapshot.Ready {
		return req, refuseNotRun(outcome.NotReady, retryWhenReady)
	}
	if req.id == "" {
		return req, refuse(http.StatusBadRequest, outcome.BadRequest, platform.HeaderRequestID+" is missing")
	}
	if refused := req.resolveRoute(snapshot); refused != nil {
		return req, refused
	}
	timeLeft, err := platform.ParseDeadline(r.Header, defaultDeadline)
	if err != nil {
		return req, refuse(http.StatusBadRequest, outcome.BadRequest, err.Error())
	}
	req.callerWaits = req.arrived.Add(timeLeft)
	req.deadline = req.arrived.Add(min(timeLeft, req.route.Timeout))
	if limit := snapshot.Limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		return req, refuse(http.StatusRequestHeaderFieldsTooLarge, outcome.HeaderTooLarge, "the header is above the limit")
	}
	req.header = platform.ForwardedRequestHeader(r.Header)
	if refused := h.readBody(req, w, r, snapshot.Limits.BodyBytes); refused != nil {
		return req, refused
	}
	req.key = crashguard.RequestKey(req.repeatHash())
	req.guardKeys = append(slices.Clone(req.sharedBlocks), req.key)
	return req, nil
}

// repeatHash returns the hash that a request and its repeats share: they have the same method,
// host, path with query, body and organisation. Each has its own ID. The hash has 32 bits.
func (req *request) repeatHash() uint64 {
	h := xxhash.New()
	// Writing to a hash never fails.
	for _, text := range []string{req.method, req.host, req.target, req.org.Name} {
		_, _ = h.WriteString(text)
		_, _ = h.Write([]byte{0})
	}
	for _, part := range req.body.parts {
		_, _ = h.Write(part)
	}
	return h.Sum64() >> 32
}

// requestTarget returns the path and query exactly as the caller sent them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// headerBytes returns the size of the request line and header as HTTP/1.1
// writes them.
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

// resolveRoute looks up the request's route, organisation and service in the
// snapshot, and refuses the request if one of them is missing.
func (req *request) resolveRoute(s *catalog.Snapshot) *refusal {
	route, ok := s.Route(req.host, req.path)
	if !ok {
		return refuse(http.StatusNotFound, outcome.UnknownRoute, "no route has this host and path")
	}
	var org catalog.Organisation
	if s.NeedsKey(route) {
		if org, ok = s.Organisation(req.apiKey); !ok {
			return refuse(http.StatusUnauthorized, outcome.Unauthorised, "the key is not known")
		}
	}
	name, ok := route.PickService(req.firstID())
	if !ok {
		return refuseNotRun(outcome.NoBackendServer, retryWhenReady)
	}
	service, ok := s.Service(name)
	if !ok {
		return refuseNotRun(outcome.NoBackendServer, retryWhenReady)
	}
	req.route, req.org, req.service = route, org, service
	req.urgencyIndex, req.urgencyLevels = s.UrgencyIndex(name, route, org)
	return nil
}

// firstID is the ID of the caller's attempt that began the stream, or else of this one. All of
// a stream's attempts go to the same service.
func (req *request) firstID() string {
	if req.takesUp() && req.resumes != "" {
		return req.resumes
	}
	return req.id
}

// takesUp reports whether the caller already has events of the stream.
func (req *request) takesUp() bool { return req.lastEventID != "" }

// priority is the organisation's priority if it has one, otherwise the route's. Metrics
// are labelled with it.
func (req *request) priority() int {
	if req.org.HasPriority {
		return req.org.Priority
	}
	return req.route.Priority
}

// enginePriority is the request's priority at an engine, where 0 is the most urgent. An
// engine under pressure preempts the newest of its least urgent requests. So requests of
// different urgency have different priorities, unless there are more urgencies than
// priorities.
func (req *request) enginePriority() int {
	if req.urgencyLevels <= platform.PriorityCount {
		return req.urgencyIndex
	}
	return req.urgencyIndex * platform.PriorityCount / req.urgencyLevels
}

// balancerRequest describes the request to the balancer.
func (req *request) balancerRequest(s *catalog.Snapshot) balancer.Request {
	r := balancer.Request{
		Service: req.service, LatencyTarget: req.route.LatencyTarget, MaxEventGap: req.route.MaxEventGap,
		PromptTokens: req.prompt.Tokens, AnswerTokens: req.prompt.MaxAnswerTokens,
		PrefixBlocks: make([]balancer.PrefixBlock, len(req.prompt.PrefixBlocks)),
	}
	for i, block := range req.prompt.PrefixBlocks {
		r.PrefixBlocks[i] = balancer.PrefixBlock{ID: balancer.PrefixBlockKey(block.ID), Tokens: block.Tokens}
	}
	r.Urgency = catalog.UrgencyOf(req.route, req.org)
	r.TimeLeft = time.Until(req.deadline)
	r.PriorityIndex, r.PriorityLevels = s.PriorityIndex(req.service.Name, req.route.Priority)
	return r
}

const (
	// The wait for a response header before another server is asked is the largest of
	// these durations: the route's latency target multiplied by headerWaitTargetFactor,
	// the expected delay multiplied by headerWaitDelayFactor, and minHeaderWait.
	headerWaitTargetFactor = 2.5
	minHeaderWait          = 300 * time.Millisecond
	headerWaitDelayFactor  = 4
	// eventPatience is how long a stream may pause before another server is asked. It
	// is below 2 s, because callers leave a stream that pauses for 2 s.
	eventPatience = 1200 * time.Millisecond
)

// writeDeadline is the time by which the caller must have read the response.
func (req *request) writeDeadline() time.Time { return req.deadline.Add(writeGrace) }

// headerPatience is how long to wait for the attempt's response header before another
// server is asked.
func (req *request) headerPatience(a *balancer.Attempt) time.Duration {
	return max(time.Duration(headerWaitTargetFactor*float64(req.route.LatencyTarget)), headerWaitDelayFactor*a.ExpectedDelay, minHeaderWait)
}

// backendRequest builds the request as it is sent to the attempt's server. If
// lastEventID is not empty, the server resumes the stream after this event.
func (req *request) backendRequest(a *balancer.Attempt, lastEventID string) backendclient.Request {
	h := req.header.Clone()
	h.Set(platform.HeaderDeadline, platform.FormatDeadline(time.Until(req.deadline)))
	h.Set(platform.HeaderExpectServer, a.Server.ID)
	if req.org.Name != "" {
		h.Set(platform.HeaderOrganisation, req.org.Name)
	}
	if req.service.IsEngine() {
		h.Set(platform.HeaderPriority, platform.FormatPriority(req.enginePriority()))
	}
	if lastEventID != "" {
		h.Set(platform.HeaderLastEvent, lastEventID)
	}
	return backendclient.Request{
		Method: req.method, Path: req.target, Host: req.host, Header: h, Body: req.body.parts,
		IDHeader: platform.HeaderRequestID, ID: req.id,
		AtMostOnce: !req.route.MayRetry(), Deadline: req.deadline, HeaderDeadline: req.deadline,
	}
}
