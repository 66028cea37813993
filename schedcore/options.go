package schedcore

import "time"

// Default values of Options.
const (
	defaultMaxQueue       = 16384
	defaultMaxAttempts    = 3
	defaultRunningTimeout = 5 * time.Minute
	defaultMinFloor       = 0.01
)

// withDefaults replaces fields that are not set with their defaults.
func (o Options) withDefaults() Options {
	if o.MaxQueue <= 0 {
		o.MaxQueue = defaultMaxQueue
	}
	if o.MaxAttempts <= 0 {
		o.MaxAttempts = defaultMaxAttempts
	}
	if o.RunningTimeout <= 0 {
		o.RunningTimeout = defaultRunningTimeout
	}
	if o.MinFloor <= 0 {
		o.MinFloor = defaultMinFloor
	}
	return o
}
