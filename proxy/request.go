package proxy

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/config"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/routing"
	"bergamotpin.example/bergamotpin/schedcore"
)

// maxKeyBytes limits the length of an idempotency key.
const maxKeyBytes = 255

// request is one caller's request after it was read and checked.
type request struct {
	id      schedcore.RequestID
	arrived time.Time
	// timeout is how long the request may take, counted from its arrival. It is
	// 0 if the caller states no deadline.
	timeout        time.Duration
	index          *routing.Index
	org            config.Entry[api.OrganisationSpec]
	class          config.Entry[api.ServiceClassSpec]
	route          config.Entry[api.RouteSpec]
	model          string // the model of the route's chosen version
	idempotencyKey string // "" if the caller sent none
	body           []byte
	// promptTokens is the size of the prompt. maxTokens is the caller's limit on
	// the size of the answer, or 0 if the caller states none. prefix is the digest
	// of the part of the prompt that engines cache, and prefixTokens is the size of
	// this part. All sizes are in tokens.
	promptTokens int
	maxTokens    int
	prefix       uint64
	prefixTokens int
}

// readHeader identifies the caller and checks the request's header. It does not
// read the body.
func (p *Proxy) readHeader(r *http.Request) (*request, *Refusal) {
	if p.Leaving() {
		return nil, refuse(outcome.InstanceLeaving, "this instance is leaving, ask another one")
	}
	if !p.Ready() {
		return nil, refuse(outcome.NotReady, "this instance does not know the configuration yet")
	}
	if headerBytes(r.Header) > p.Limits.HeaderBytes {
		return nil, refuse(outcome.HeaderTooLarge, "the header is above the limit")
	}
	req := &request{arrived: time.Now(), index: p.Index(), idempotencyKey: r.Header.Get(HeaderIdempotencyKey)}
	_, _ = rand.Read(req.id[:])
	var ok bool
	if req.org, ok = req.index.Organisation(bearerKey(r)); !ok {
		return nil, refuse(outcome.Unauthorised, "the key is not known")
	}
	var reason outcome.Reason
	if req.class, reason = req.index.Class(req.org, r.Header.Get(HeaderClass)); reason != outcome.ReasonNone {
		return nil, refuse(reason, "class "+strconv.Quote(r.Header.Get(HeaderClass)))
	}
	if len(req.idempotencyKey) > maxKeyBytes {
		return nil, refuse(outcome.BadRequest, "the idempotency key is longer than 255 bytes")
	}
	return req, req.readDeadline(r)
}

// readDeadline sets the request's timeout from the caller's header, if the caller
// states a deadline.
func (req *request) readDeadline(r *http.Request) *Refusal {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return refuse(outcome.BadRequest, HeaderDeadline+" must be a number of milliseconds above 0")
	}
	req.timeout = time.Duration(ms) * time.Millisecond
	return nil
}

// setRoute looks up the route by name and picks the version of the route that
// serves the request.
func (req *request) setRoute(name string, service bool) *Refusal {
	var reason outcome.Reason
	if req.route, reason = req.index.Route(req.org, name, service); reason != outcome.ReasonNone {
		return refuse(reason, "model or service "+strconv.Quote(name))
	}
	var ok bool
	if req.model, ok = routing.PickVersion(req.route.Spec, req.id); !ok {
		return refuse(outcome.NoBackendServer, "the route has no version with a weight")
	}
	if req.route.Spec.RequireKey && req.idempotencyKey == "" {
		return refuse(outcome.KeyRequired, "this route requires the header "+HeaderIdempotencyKey)
	}
	return nil
}

// readBody reads the body within the limits of size and time.
func (p *Proxy) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Refusal) {
	control := http.NewResponseController(w)
	// The error is ignored: only response writers in tests don't support deadlines.
	_ = control.SetReadDeadline(time.Now().Add(p.Limits.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, p.Limits.BodyBytes))
	if err != nil {
		return nil, bodyRefusal(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

func bodyRefusal(err error) *Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refuse(outcome.BodyTooLarge, "the body is above "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refuse(outcome.BodyTimeout, "the body did not arrive in time")
	}
	return refuse(outcome.BadRequest, "the body could not be read")
}

func headerBytes(h http.Header) int {
	total := 0
	for name, values := range h {
		for _, v := range values {
			total += len(name) + len(v)
		}
	}
	return total
}

// ticket returns the request's ticket for the scheduler.
func (req *request) ticket() schedcore.Ticket {
	return schedcore.Ticket{
		ID:           req.id,
		Model:        req.model,
		Class:        req.class.Name,
		Organisation: req.org.Name,
		Waited:       time.Since(req.arrived),
		Deadline:     req.timeout,
		Idempotent:   req.route.Spec.Idempotent,
		PromptTokens: req.promptTokens,
		MaxTokens:    req.maxTokens,
		Prefix:       req.prefix,
		PrefixTokens: req.prefixTokens,
	}
}

// digest returns a hash of the request's route and body. Two requests with the
// same idempotency key count as the same request if their digests are equal.
func (req *request) digest() string {
	h := sha256.New()
	// The errors are ignored: a hash's Write never fails.
	_, _ = io.WriteString(h, req.route.Name+"\n")
	_, _ = h.Write(req.body)
	return hex.EncodeToString(h.Sum(nil))
}

// idText returns the request's ID in hexadecimal.
func (req *request) idText() string { return hex.EncodeToString(req.id[:]) }

// attemptID identifies one attempt at the backend server.
func (req *request) attemptID(attempt uint32) string {
	return req.idText() + "-" + strconv.FormatUint(uint64(attempt), 10)
}
