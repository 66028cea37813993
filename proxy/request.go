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

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 255

// call is a request that was read and checked.
type call struct {
	id       schedcore.RequestID
	arrived  time.Time
	deadline time.Duration // zero for none
	index    *routing.Index
	org      config.Entry[api.OrganisationSpec]
	class    config.Entry[api.ServiceClassSpec]
	route    config.Entry[api.RouteSpec]
	model    string // version of the route
	key      string // idempotency key, or ""
	body     []byte
	// What a ticket says of a prompt.
	promptTokens int
	maxTokens    int
	prefix       uint64
	prefixTokens int
}

// admit identifies the caller and checks the header. The body is not read yet.
func (p *Proxy) admit(r *http.Request) (*call, *Refusal) {
	if p.Leaving() {
		return nil, refuse(outcome.InstanceLeaving, "this instance is leaving, ask another one")
	}
	if !p.Ready() {
		return nil, refuse(outcome.NotReady, "this instance does not know the configuration yet")
	}
	if headerBytes(r.Header) > p.Limits.HeaderBytes {
		return nil, refuse(outcome.HeaderTooLarge, "the header is above the limit")
	}
	c := &call{arrived: time.Now(), index: p.Index(), key: r.Header.Get(HeaderIdempotencyKey)}
	_, _ = rand.Read(c.id[:])
	var known bool
	if c.org, known = c.index.Organisation(bearer(r)); !known {
		return nil, refuse(outcome.Unauthorised, "the key is not known")
	}
	var reason outcome.Reason
	if c.class, reason = c.index.Class(c.org, r.Header.Get(HeaderClass)); reason != outcome.ReasonNone {
		return nil, refuse(reason, "class "+strconv.Quote(r.Header.Get(HeaderClass)))
	}
	if len(c.key) > maxKeyBytes {
		return nil, refuse(outcome.BadRequest, "the idempotency key is longer than 255 bytes")
	}
	return c, c.readDeadline(r)
}

func (c *call) readDeadline(r *http.Request) *Refusal {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return refuse(outcome.BadRequest, HeaderDeadline+" must be a number of milliseconds above 0")
	}
	c.deadline = time.Duration(ms) * time.Millisecond
	return nil
}

// setRoute finds the route by name and picks its version.
func (c *call) setRoute(name string, service bool) *Refusal {
	var reason outcome.Reason
	if c.route, reason = c.index.Route(c.org, name, service); reason != outcome.ReasonNone {
		return refuse(reason, "model or service "+strconv.Quote(name))
	}
	var ok bool
	if c.model, ok = routing.PickVersion(c.route.Spec, c.id); !ok {
		return refuse(outcome.NoBackendServer, "the route has no version with a weight")
	}
	if c.route.Spec.RequireKey && c.key == "" {
		return refuse(outcome.KeyRequired, "this route requires the header "+HeaderIdempotencyKey)
	}
	return nil
}

// readBody reads the body within its bounds of size and time.
func (p *Proxy) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Refusal) {
	control := http.NewResponseController(w)
	// In-memory writers of tests have no deadlines.
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

// ticket returns what the scheduler needs to know.
func (c *call) ticket() schedcore.Ticket {
	return schedcore.Ticket{
		ID:           c.id,
		Model:        c.model,
		Class:        c.class.Name,
		Organisation: c.org.Name,
		Waited:       time.Since(c.arrived),
		Deadline:     c.deadline,
		Idempotent:   c.route.Spec.Idempotent,
		PromptTokens: c.promptTokens,
		MaxTokens:    c.maxTokens,
		Prefix:       c.prefix,
		PrefixTokens: c.prefixTokens,
	}
}

// digest identifies the request's content for its idempotency key.
func (c *call) digest() string {
	h := sha256.New()
	// A hash's Write never fails.
	_, _ = io.WriteString(h, c.route.Name+"\n")
	_, _ = h.Write(c.body)
	return hex.EncodeToString(h.Sum(nil))
}

// name returns the request's id as text.
func (c *call) name() string { return hex.EncodeToString(c.id[:]) }

// attemptID names one attempt at the backend server.
func (c *call) attemptID(attempt uint32) string {
	return c.name() + "-" + strconv.FormatUint(uint64(attempt), 10)
}
