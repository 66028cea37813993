package proxy

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/idempotency"
	"bergamotpin.example/bergamotpin/outcome"
)

// Claims stores idempotency keys and the outcomes of their requests.
type Claims interface {
	// Begin claims a key. If an earlier request claimed the key, it returns what
	// is known of that request.
	Begin(ctx context.Context, r idempotency.Request) (idempotency.Claim, error)
	// Finish stores the outcome of a request whose claim was in state Fresh.
	Finish(ctx context.Context, claim idempotency.Claim, o idempotency.Outcome) error
}

const (
	// HeaderReplayed marks a response that was stored for an earlier request
	// with the same key.
	HeaderReplayed = "Bergamotpin-Replayed"
	// finishTimeout limits the time for storing the outcome of a claim.
	finishTimeout = 30 * time.Second
)

// needsClaim reports whether the request must claim its key before it is sent.
func (req *request) needsClaim() bool { return req.idempotencyKey != "" && !req.route.Spec.Idempotent }

// heldClaim is a request's claim of its key. In the zero value the request has no
// claim.
type heldClaim struct {
	held  bool
	claim idempotency.Claim
}

// claimKey claims the request's key if the request needs a claim. If it returns
// neither a stored outcome nor a refusal, the request may be sent.
func (p *Proxy) claimKey(ctx context.Context, req *request) (heldClaim, *idempotency.Outcome, *Refusal) {
	if !req.needsClaim() {
		return heldClaim{}, nil, nil
	}
	claim, err := p.Claims.Begin(ctx, idempotency.Request{Organisation: req.org.Name, Key: req.idempotencyKey, Digest: req.digest()})
	if err != nil {
		return heldClaim{}, nil, claimRefusal(err)
	}
	switch claim.State {
	case idempotency.Fresh:
		return heldClaim{held: true, claim: claim}, nil, nil
	case idempotency.InProgress:
		return heldClaim{}, nil, refuseUsedKey(outcome.KeyInProgress, "a request with this key is in progress")
	case idempotency.Completed:
		if claim.Outcome.Truncated {
			return heldClaim{}, nil, refuseUsedKey(outcome.KeyCompleted, "the request with this key ran; its answer is not kept")
		}
		return heldClaim{}, &claim.Outcome, nil
	default:
		return heldClaim{}, nil, refuseUsedKey(outcome.KeyUnknown, "a request with this key may have run")
	}
}

// refuseUsedKey refuses a request whose key belongs to an earlier request that
// ran or may have run.
func refuseUsedKey(reason outcome.Reason, message string) *Refusal {
	r := &Refusal{Final: outcome.Unknown, Reason: reason, Message: message}
	if reason == outcome.KeyInProgress {
		r.RetryAfter = defaultRetryAfter
	}
	return r
}

func claimRefusal(err error) *Refusal {
	if errors.Is(err, idempotency.ErrKeyConflict) {
		return refuse(outcome.KeyConflict, "the key was used with another request")
	}
	r := refuse(outcome.KeyStoreUnavailable, "the key could not be claimed, and the request was not run")
	var storeErr *idempotency.StoreError
	if errors.As(err, &storeErr) && storeErr.RetryAfter > 0 {
		r.RetryAfter = storeErr.RetryAfter
	}
	return r
}

// finishClaim stores the outcome of a request that holds a claim. If refusal is
// nil, the request was completed with the outcome o. The outcome is stored in the
// background, so that the response is not delayed.
func (p *Proxy) finishClaim(h heldClaim, refusal *Refusal, o idempotency.Outcome) {
	if !h.held {
		return
	}
	o.Final = outcome.Completed
	if refusal != nil {
		o = idempotency.Outcome{Final: outcome.Refused}
		if refusal.mayHaveStarted {
			o.Final = outcome.Unknown
		}
	}
	p.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		// The error is ignored: the outcome of a claim that is not finished
		// becomes unknown by itself.
		_ = p.Claims.Finish(ctx, h.claim, o)
	})
}

// replay answers a request with the stored outcome of an earlier request with the
// same key.
func (p *Proxy) replay(w http.ResponseWriter, req *request, o *idempotency.Outcome, stream bool) {
	w.Header().Set(HeaderReplayed, "true")
	if outcome.PromisesNotRun(o.Status) {
		// Earlier versions stored a server's own failure with such a status.
		refusal := &Refusal{Final: outcome.Unknown, Reason: outcome.ServerError, mayHaveStarted: true}
		p.countRefusal(req, refusal)
		refusal.write(w)
		return
	}
	p.Metrics.ForClass(req.class.Name).CountFinal(outcome.Completed)
	if stream && o.Status == http.StatusOK {
		p.replayStream(w, o.Body)
		return
	}
	p.writeResponse(w, o.Status, contentType(o.Body), o.Body)
}

// replayStream sends a stored completion as a stream of one frame.
func (p *Proxy) replayStream(w http.ResponseWriter, body []byte) {
	var stored completion
	if err := json.Unmarshal(body, &stored); err != nil || len(stored.Choices) == 0 {
		p.writeResponse(w, http.StatusOK, contentType(body), body)
		return
	}
	response := newStreamResponse(w, false, p.Limits.CallerTimeout)
	choice := stored.Choices[0]
	frame := replayedChunk{ID: stored.ID, Object: "chat.completion.chunk", Created: stored.Created, Model: stored.Model}
	frame.Choices = []replayedChoice{{Delta: choice.Message, FinishReason: choice.FinishReason}}
	if response.writeEvent(string(encode(frame))) == nil {
		// The error is ignored: a failed write means that the caller left.
		_ = response.finish()
	}
}

// replayedChunk is a whole completion as one frame of a stream.
type replayedChunk struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []replayedChoice `json:"choices"`
}

type replayedChoice struct {
	Index        int           `json:"index"`
	Delta        answerMessage `json:"delta"`
	FinishReason string        `json:"finish_reason"`
}

// contentType guesses the content type of a stored body, because a stored outcome
// has no header.
func contentType(body []byte) string {
	if json.Valid(body) {
		return "application/json"
	}
	return http.DetectContentType(body)
}
