package idempotency

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/objects"
	"bergamotpin.example/bergamotpin/outcome"
)

// Finish stores how the request of a Fresh claim ended. If the request was
// refused, which means that it did not run, Finish releases the key instead.
// Calls that fail or get no response are retried until ctx ends. After an error
// the key stays claimed and becomes Unknown.
func (c *Claims) Finish(ctx context.Context, claim Claim, o Outcome) error {
	err := c.finish(ctx, claim, o)
	if err != nil {
		c.Counters.FinishFailed.Add(1)
		return err
	}
	c.Counters.Finished.Add(1)
	return nil
}

func (c *Claims) finish(ctx context.Context, claim Claim, o Outcome) error {
	if claim.State != Fresh {
		return errors.New("idempotency: only a fresh claim can be finished")
	}
	obj := claim.object
	if o.Final != outcome.Refused {
		obj.Spec = claim.record.withOutcome(o).encode()
	}
	for backoff := finishBackoffMin; ; backoff = min(2*backoff, finishBackoffMax) {
		err := c.finishOnce(ctx, obj, o.Final)
		if err == nil {
			return nil
		}
		done, result := c.handleFinishError(err, &obj, claim.record, o)
		if done {
			return result
		}
		if waitErr := wait(ctx, backoff); waitErr != nil {
			return errors.Wrap(err, waitErr.Error())
		}
	}
}

// finishOnce makes one attempt to store the outcome, or to delete the claim if
// the request was refused.
func (c *Claims) finishOnce(ctx context.Context, obj api.Object, final outcome.Final) error {
	if final == outcome.Refused {
		return c.store.Delete(ctx, obj.Kind, obj.Name, obj.Version)
	}
	_, err := c.store.Update(ctx, obj)
	return err
}

// handleFinishError decides how Finish goes on after a failed attempt. If it
// returns true, Finish ends with the returned error, which may be nil. If it
// returns false, Finish makes another attempt with obj, which handleFinishError
// has updated.
func (c *Claims) handleFinishError(err error, obj *api.Object, own record, o Outcome) (bool, error) {
	if errors.Is(err, objects.ErrNotFound) {
		return true, claimLostResult(o)
	}
	currentObj := conflictingObject(err)
	if currentObj == nil {
		return errors.Is(err, objects.ErrInvalid), err
	}
	current, decodeErr := decodeRecord(*currentObj)
	switch {
	case decodeErr != nil:
		return true, decodeErr
	case current.Nonce != own.Nonce:
		return true, claimLostResult(o)
	case current.State != stateClaimed && o.Final != outcome.Refused:
		// An earlier attempt that got no response took effect.
		return true, nil
	}
	obj.Version = currentObj.Version
	return false, nil
}

// claimLostResult returns the result of Finish if the claim no longer exists.
// If the request was refused, the key was to be released anyway, so the result
// is nil. Otherwise it is ErrClaimLost.
func claimLostResult(o Outcome) error {
	if o.Final == outcome.Refused {
		return nil
	}
	return ErrClaimLost
}

// startRelease starts the release of a claim that the platform did not confirm.
// The claim may exist although its request was never sent. If maxReleases
// releases are running, startRelease does nothing.
func (c *Claims) startRelease(obj api.Object, nonce string) {
	select {
	case c.releaseSlots <- struct{}{}:
	default:
		return
	}
	c.releases.Go(func() {
		defer func() { <-c.releaseSlots }()
		c.release(obj, nonce)
	})
}

// release deletes a claim that the platform did not confirm, if the claim
// exists. It gives up after releaseTimeout. If a claim remains, its key becomes
// Unknown after MaxRunTime and stays Unknown until the claim expires.
func (c *Claims) release(obj api.Object, nonce string) {
	ctx, cancel := context.WithTimeout(c.ctx, releaseTimeout)
	defer cancel()
	for backoff := finishBackoffMin; ; backoff = min(2*backoff, finishBackoffMax) {
		if c.releaseOnce(ctx, obj, nonce) {
			c.Counters.Released.Add(1)
			return
		}
		if wait(ctx, backoff) != nil {
			return
		}
	}
}

// releaseOnce tries once to delete the claim and reports whether it succeeded.
// If no claim is found, the create may still be on its way to the platform. The
// result is then false, so that release tries again.
func (c *Claims) releaseOnce(ctx context.Context, obj api.Object, nonce string) bool {
	current, err := c.store.Get(ctx, obj.Kind, obj.Name)
	if err != nil {
		return false
	}
	rec, err := decodeRecord(current)
	if err != nil || rec.Nonce != nonce {
		return false
	}
	err = c.store.Delete(ctx, current.Kind, current.Name, current.Version)
	return err == nil || errors.Is(err, objects.ErrNotFound)
}

// wait waits for d and returns nil. If ctx ends earlier, wait returns the error
// of ctx at once.
func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
