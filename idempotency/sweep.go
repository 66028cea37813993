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
	// sweepInterval is the time between the lists of two partitions. Each
	// partition is listed every Partitions intervals.
	sweepInterval = time.Minute
	// DefaultSweepRate bounds the deletes a second.
	DefaultSweepRate = 40
)

// SweepStore is what a Sweeper needs of the object API.
type SweepStore interface {
	List(ctx context.Context, kind api.Kind) (api.List, error)
	Delete(ctx context.Context, kind api.Kind, name string, version int64) error
}

// Sweeper deletes expired claims, one partition after the other. One instance
// is enough; several do no harm.
type Sweeper struct {
	Claims *Claims
	Store  SweepStore
	// ShouldSweep reports whether this instance sweeps.
	ShouldSweep func() bool
	// Limit bounds the deletes. Nil means DefaultSweepRate.
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

// sweep deletes the expired claims of a partition. It stops at the first call
// that the platform does not serve.
func (s *Sweeper) sweep(ctx context.Context, partition int) error {
	list, err := s.Store.List(ctx, partitionKind(partition))
	if err != nil {
		return err
	}
	for _, obj := range list.Items {
		rec, err := decodeRecord(obj)
		if err != nil || !s.Claims.expired(rec) {
			continue
		}
		if err := s.Limit.Wait(ctx); err != nil {
			return err
		}
		err = s.Store.Delete(ctx, obj.Kind, obj.Name, obj.Version)
		settled := errors.Is(err, objects.ErrNotFound) || errors.Is(err, objects.ErrConflict)
		if err != nil && !settled {
			return err
		}
	}
	return nil
}
