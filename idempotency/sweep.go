package idempotency

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/objects"
)

const (
	// sweepInterval is the time between the sweep of one partition and the
	// sweep of the next. Each partition is swept once in Partitions intervals.
	sweepInterval = time.Minute
	// DefaultSweepRate is the largest number of deletes per second.
	DefaultSweepRate = 40
)

// SweepStore is the part of the object API that a Sweeper uses.
type SweepStore interface {
	List(ctx context.Context, kind api.Kind) (api.List, error)
	Delete(ctx context.Context, kind api.Kind, name string, version int64) error
}

// Sweeper deletes expired claims, one partition after another. One sweeping
// instance is enough, but several sweeping instances do no harm.
type Sweeper struct {
	Claims *Claims
	Store  SweepStore
	// ShouldSweep reports whether this instance has the duty to sweep.
	ShouldSweep func() bool
	// Limit bounds the rate of deletes. Nil means DefaultSweepRate.
	Limit *rate.Limiter
}

// Run sweeps until ctx ends.
func (s *Sweeper) Run(ctx context.Context) {
	if s.Limit == nil {
		s.Limit = rate.NewLimiter(DefaultSweepRate, 1)
	}
	for partition := 0; wait(ctx, sweepInterval) == nil; {
		if s.ShouldSweep() && s.sweep(ctx, partition) == nil {
			partition = (partition + 1) % Partitions
		}
	}
}

// sweep deletes the expired claims of a partition. It skips a claim that was
// changed or deleted since it was listed. If a call fails for another reason,
// sweep stops and returns the error.
func (s *Sweeper) sweep(ctx context.Context, partition int) error {
	list, err := s.Store.List(ctx, partitionKind(partition))
	if err != nil {
		return err
	}
	for _, obj := range list.Items {
		claim, err := decodeRecord(obj)
		if err != nil || !s.Claims.expired(claim) {
			continue
		}
		if err := s.Limit.Wait(ctx); err != nil {
			return err
		}
		err = s.Store.Delete(ctx, obj.Kind, obj.Name, obj.Version)
		alreadyChanged := errors.Is(err, objects.ErrNotFound) || errors.Is(err, objects.ErrConflict)
		if err != nil && !alreadyChanged {
			return err
		}
	}
	return nil
}
