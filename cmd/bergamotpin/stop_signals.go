package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// exitInterrupted is the exit code of a process that a second SIGINT ended, as shells report it.
const exitInterrupted = 128 + int(syscall.SIGINT)

// stopSignals returns a context that ends at the first SIGTERM or SIGINT. Further ones of
// SIGTERM change nothing: the platform may ask for a stop more than once, and the requests that
// are open keep the whole grace period. A second SIGINT calls endAtOnce, for operators at a
// terminal. The signals are handled until the process ends.
func stopSignals(parent context.Context, endAtOnce func()) context.Context {
	ctx, cancel := context.WithCancel(parent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		interrupts := 0
		for s := range signals {
			cancel()
			if s == os.Interrupt {
				interrupts++
			}
			if interrupts == 2 {
				endAtOnce()
			}
		}
	}()
	return ctx
}
