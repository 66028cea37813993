package main

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/chaos"
)

// runFaults runs a small system with random faults and prints each step of
// the run. It returns an error if a guarantee was violated.
func runFaults(ctx context.Context, seed uint64) error {
	fmt.Println("seed", seed)
	report, err := chaos.Run(ctx, chaos.Options{
		Seed:   seed,
		OnStep: func(s chaos.Step) { fmt.Println(s) },
	})
	if err != nil {
		return err
	}
	if violations := report.FailureCount(); violations > 0 {
		return errors.Errorf("%d violations of guarantees", violations)
	}
	return nil
}
