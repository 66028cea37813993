package idempotency

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/objects"
	"bergamotpin.example/bergamotpin/outcome"
)

// Finish stores how the request of a Fresh claim ended, or gives the key free
// if the request was refused, which means that it did not run. It repeats
// unanswered and refused calls until ctx ends. After an error the key stays
// claimed and becomes Unknown.
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
		obj.Spec = claim.record.ended(o).encode()
	}
	for backoff := finishBackoffMin; ; backoff = min(2*backoff, finishBackoffMax) {
		err := c.finishOnce(ctx, obj, o.Final)
		if err == nil {
			return nil
		}
		done, settled := c.settle(err, &obj, claim.record, o)
		if done {
			return settled
		}
		if waitErr := wait(ctx, backoff); waitErr != nil {
			return errors.Wrap(err, waitErr.Error())
		}
	}
}

func (c *Claims) finishOnce(ctx context.Context, obj api.Object, final outcome.Final) error {
	if final == outcome.Refused {
		return c.store.Delete(ctx, obj.Kind, obj.Name, obj.Version)
	}
	_, err := c.store.Update(ctx, obj)
	return err
}

// settle decides after a failed attempt whether the claim is settled. If it is
// not, obj is ready for the next attempt.
func (c *Claims) settle(err error, obj *api.Object, ours record, o Outcome) (bool, error) {
	if errors.Is(err, objects.ErrNotFound) {
		return true, lostClaim(o)
	}
	found := conflicting(err)
	if found == nil {
		return errors.Is(err, objects.ErrInvalid), err
	}
	current, decodeErr := decodeRecord(*found)
	switch {
	case decodeErr != nil:
		return true, decodeErr
	case current.Nonce != ours.Nonce:
		return true, lostClaim(o)
	case current.State != stateClaimed && o.Final != outcome.Refused:
		// An attempt without an answer took effect.
		return true, nil
	}
	obj.Version = found.Version
	return false, nil
}

// lostClaim is the result for a claim that is gone. A key that was to be given
// free is free.
func lostClaim(o Outcome) error {
	if o.Final == outcome.Refused {
		return nil
	}
	return ErrClaimLost
}

// startRelease works on a claim that may have been made and was never used,
// unless too many are under way.
func (c *Claims) startRelease(obj api.Object, nonce string) {
	select {
	case c.releasing <- struct{}{}:
	default:
		return
	}
	c.releases.Go(func() {
		defer func() { <-c.releasing }()
		c.release(obj, nonce)
	})
}

// release deletes a claim that may have been made and was never used. It gives
// up after a while; the key is then Unknown until the claim expires.
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

// releaseOnce reports whether the claim is gone for certain. A claim that is
// absent may still be made by a call on its way, so it is looked for until the
// time is up.
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

// wait returns nil after d, or the error of ctx.
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
