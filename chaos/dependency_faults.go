package chaos

import (
	"context"
	"fmt"
	"time"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/standin/platform"
	"bergamotpin.example/bergamotpin/standin/service"
)

// platformFault returns a fault that changes the platform's fault settings. The
// given function changes the settings and returns a description for the report.
func platformFault(name string, set func(s *step, f *platform.Faults) string) fault {
	return fault{name: name, inject: func(_ context.Context, s *step) string {
		p := s.run.demo.Platform()
		f := p.Faults()
		detail := set(s, &f)
		p.SetFaults(f)
		return detail
	}}
}

func platformFaults() []fault {
	outage := func(kind platform.Outage) func(*step, *platform.Faults) string {
		return func(s *step, f *platform.Faults) string {
			f.Outage = kind
			s.platformDown = true
			return ""
		}
	}
	return []fault{
		platformFault("platform-refuses", outage(platform.OutageRefuse)),
		platformFault("platform-hangs", outage(platform.OutageHang)),
		platformFault("platform-slow", func(s *step, f *platform.Faults) string {
			f.Latency = toAPIDuration(s.randomDuration(maxPlatformLatency))
			return " " + f.Latency.Std().String()
		}),
		platformFault("platform-loses-confirmations", func(s *step, f *platform.Faults) string {
			f.LoseConfirmations = 0.2 + 0.8*s.run.random.Float64()
			return fmt.Sprintf(" %.2f", f.LoseConfirmations)
		}),
		platformFault("platform-stale-reads", func(s *step, f *platform.Faults) string {
			f.StaleReads = toAPIDuration(s.randomDuration(maxStaleness))
			return " " + f.StaleReads.Std().String()
		}),
	}
}

// randomDuration returns a random duration between 10% and 100% of the limit.
func (s *step) randomDuration(limit time.Duration) time.Duration {
	return time.Duration((0.1 + 0.9*s.run.random.Float64()) * float64(limit))
}

// engineFault returns a fault that changes the fault settings of one random
// engine. Its description is the engine's number, counted from 1.
func engineFault(name string, set func(s *step, f *engineapi.EngineFaults)) fault {
	return fault{name: name, inject: func(_ context.Context, s *step) string {
		number := s.run.random.IntN(engineCount)
		engine := s.run.demo.Engines()[number]
		f := engine.Faults()
		set(s, &f)
		engine.SetFaults(f)
		return fmt.Sprintf(" %d", number+1)
	}}
}

// maxTokensBeforeBreak is the highest number of tokens that an engine sends
// before an injected fault ends the stream.
const maxTokensBeforeBreak = 10

func engineFaults() []fault {
	return []fault{
		{name: "engine-crash", inject: func(_ context.Context, s *step) string {
			number := s.run.random.IntN(engineCount)
			s.run.demo.Engines()[number].Crash()
			return fmt.Sprintf(" %d", number+1)
		}},
		engineFault("engine-crashes-mid-stream", func(s *step, f *engineapi.EngineFaults) {
			f.CrashAfterTokens = 1 + s.run.random.IntN(maxTokensBeforeBreak)
		}),
		engineFault("engine-cuts-streams", func(s *step, f *engineapi.EngineFaults) {
			f.CutAfterTokens = 1 + s.run.random.IntN(maxTokensBeforeBreak)
		}),
		engineFault("engine-freezes", func(_ *step, f *engineapi.EngineFaults) { f.Frozen = true }),
		engineFault("engine-slow", func(s *step, f *engineapi.EngineFaults) { f.Slowdown = 2 + 8*s.run.random.Float64() }),
		engineFault("engine-doubles-frames", func(_ *step, f *engineapi.EngineFaults) { f.DuplicateFrames = true }),
		engineFault("engine-late-frames", func(_ *step, f *engineapi.EngineFaults) { f.LateFrames = true }),
		engineFault("engine-no-reports", func(_ *step, f *engineapi.EngineFaults) { f.NoReports = true }),
	}
}

// serviceFault returns a fault that changes the fault settings of one random
// plain service. The share of affected calls is random, between 0.2 and 1.
func serviceFault(name string, set func(f *service.Faults, share float64)) fault {
	return fault{name: name, inject: func(_ context.Context, s *step) string {
		number := s.run.random.IntN(serviceCount)
		share := 0.2 + 0.8*s.run.random.Float64()
		server := s.run.demo.Services()[number]
		f := server.Faults()
		set(&f, share)
		server.SetFaults(f)
		return fmt.Sprintf(" %d at %.2f", number+1, share)
	}}
}

func serviceFaults() []fault {
	return []fault{
		serviceFault("service-refuses", func(f *service.Faults, share float64) { f.Refuse = share }),
		serviceFault("service-crashes-before", func(f *service.Faults, share float64) { f.CrashBeforeRun = share }),
		serviceFault("service-crashes-after", func(f *service.Faults, share float64) { f.CrashAfterRun = share }),
	}
}
