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

// Claims keeps idempotency keys.
type Claims interface {
	// Begin claims a key, or tells what is known of it.
	Begin(ctx context.Context, r idempotency.Request) (idempotency.Claim, error)
	// Finish stores the outcome of a fresh claim.
	Finish(ctx context.Context, c idempotency.Claim, o idempotency.Outcome) error
}

const (
	// HeaderReplayed marks an answer that an earlier request with the same key
	// got.
	HeaderReplayed = "Bergamotpin-Replayed"
	// finishTimeout bounds how long the outcome of a claim is tried to be kept.
	finishTimeout = 30 * time.Second
)

// needsClaim tells whether the call must hold its key before it is sent.
func (c *call) needsClaim() bool { return c.key != "" && !c.route.Spec.Idempotent }

// claimed is a call's hold on its key. The zero value holds none.
type claimed struct {
	held  bool
	claim idempotency.Claim
}

// claim takes the call's key. It returns a refusal, or the answer that the key
// already has, or neither if the call may be sent.
func (p *Proxy) claim(ctx context.Context, c *call) (claimed, *idempotency.Outcome, *Refusal) {
	if !c.needsClaim() {
		return claimed{}, nil, nil
	}
	claim, err := p.Claims.Begin(ctx, idempotency.Request{Organisation: c.org.Name, Key: c.key, Digest: c.digest()})
	if err != nil {
		return claimed{}, nil, claimRefusal(err)
	}
	switch claim.State {
	case idempotency.Fresh:
		return claimed{held: true, claim: claim}, nil, nil
	case idempotency.InProgress:
		return claimed{}, nil, known(outcome.KeyInProgress, "a request with this key is in progress")
	case idempotency.Completed:
		if claim.Outcome.Truncated {
			return claimed{}, nil, known(outcome.KeyCompleted, "the request with this key ran; its answer is not kept")
		}
		return claimed{}, &claim.Outcome, nil
	default:
		return claimed{}, nil, known(outcome.KeyUnknown, "a request with this key may have run")
	}
}

// known refuses a call whose key belongs to one that ran or may have run.
func known(reason outcome.Reason, message string) *Refusal {
	r := &Refusal{Final: outcome.Unknown, Reason: reason, Message: message}
	if reason == outcome.KeyInProgress {
		r.RetryAfter = defaultReturn
	}
	return r
}

func claimRefusal(err error) *Refusal {
	if errors.Is(err, idempotency.ErrKeyConflict) {
		return refuse(outcome.KeyConflict, "the key was used with another request")
	}
	r := refuse(outcome.KeyStoreUnavailable, "the key could not be claimed, and the request was not run")
	var store *idempotency.StoreError
	if errors.As(err, &store) && store.RetryAfter > 0 {
		r.RetryAfter = store.RetryAfter
	}
	return r
}

// settle keeps the outcome of a held claim: o, if the request was completed. It
// does not hold up the answer.
func (p *Proxy) settle(h claimed, refusal *Refusal, o idempotency.Outcome) {
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
		// A claim without an outcome becomes unknown by itself.
		_ = p.Claims.Finish(ctx, h.claim, o)
	})
}

// replay answers with what an earlier request with the same key got.
func (p *Proxy) replay(w http.ResponseWriter, c *call, o *idempotency.Outcome, stream bool) {
	w.Header().Set(HeaderReplayed, "true")
	p.Metrics.Class(c.class.Name).CountFinal(outcome.Completed)
	if stream && o.Status == http.StatusOK {
		p.replayStream(w, o.Body)
		return
	}
	p.pass(w, o.Status, contentType(o.Body), o.Body)
}

// replayStream sends a kept completion as a stream of one frame.
func (p *Proxy) replayStream(w http.ResponseWriter, body []byte) {
	var kept completion
	if err := json.Unmarshal(body, &kept); err != nil || len(kept.Choices) == 0 {
		p.pass(w, http.StatusOK, contentType(body), body)
		return
	}
	answer := newStreamAnswer(w, false, p.Limits.CallerTimeout)
	choice := kept.Choices[0]
	frame := replayedChunk{ID: kept.ID, Object: "chat.completion.chunk", Created: kept.Created, Model: kept.Model}
	frame.Choices = []replayedChoice{{Delta: choice.Message, FinishReason: choice.FinishReason}}
	if answer.event(string(encode(frame))) == nil {
		// A failed write means that the caller left.
		_ = answer.finish()
	}
}

// replayedChunk is a whole answer as one frame of a stream.
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

func contentType(body []byte) string {
	if json.Valid(body) {
		return "application/json"
	}
	return http.DetectContentType(body)
}
