package chaos

import (
	"context"
	"fmt"
	"time"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/standin/platform"
	"bergamotpin.example/bergamotpin/standin/service"
)

// platformFault adds to the platform's faults. Change draws what it needs and
// returns it for the report.
func platformFault(name string, change func(s *step, f *platform.Faults) string) fault {
	return fault{name: name, inject: func(_ context.Context, s *step) string {
		p := s.run.demo.Platform()
		f := p.Faults()
		detail := change(s, &f)
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
			f.Latency = millis(s.upTo(maxPlatform))
			return " " + f.Latency.Std().String()
		}),
		platformFault("platform-loses-confirmations", func(s *step, f *platform.Faults) string {
			f.LoseConfirmations = 0.2 + 0.8*s.run.random.Float64()
			return fmt.Sprintf(" %.2f", f.LoseConfirmations)
		}),
		platformFault("platform-stale-reads", func(s *step, f *platform.Faults) string {
			f.StaleReads = millis(s.upTo(maxStaleness))
			return " " + f.StaleReads.Std().String()
		}),
	}
}

// upTo draws a duration between a tenth of longest and longest.
func (s *step) upTo(longest time.Duration) time.Duration {
	return time.Duration((0.1 + 0.9*s.run.random.Float64()) * float64(longest))
}

// engineFault adds to the faults of one engine.
func engineFault(name string, change func(s *step, f *engineapi.EngineFaults)) fault {
	return fault{name: name, inject: func(_ context.Context, s *step) string {
		number := s.run.random.IntN(engines)
		e := s.run.demo.Engines()[number]
		f := e.Faults()
		change(s, &f)
		e.SetFaults(f)
		return fmt.Sprintf(" %d", number+1)
	}}
}

// maxTokensToBreak bounds after how many tokens a stream breaks.
const maxTokensToBreak = 10

func engineFaults() []fault {
	return []fault{
		{name: "engine-crash", inject: func(_ context.Context, s *step) string {
			number := s.run.random.IntN(engines)
			s.run.demo.Engines()[number].Crash()
			return fmt.Sprintf(" %d", number+1)
		}},
		engineFault("engine-crashes-mid-stream", func(s *step, f *engineapi.EngineFaults) {
			f.CrashAfterTokens = 1 + s.run.random.IntN(maxTokensToBreak)
		}),
		engineFault("engine-cuts-streams", func(s *step, f *engineapi.EngineFaults) {
			f.CutAfterTokens = 1 + s.run.random.IntN(maxTokensToBreak)
		}),
		engineFault("engine-freezes", func(_ *step, f *engineapi.EngineFaults) { f.Frozen = true }),
		engineFault("engine-slow", func(s *step, f *engineapi.EngineFaults) { f.Slowdown = 2 + 8*s.run.random.Float64() }),
		engineFault("engine-doubles-frames", func(_ *step, f *engineapi.EngineFaults) { f.DoubleFrames = true }),
		engineFault("engine-late-frames", func(_ *step, f *engineapi.EngineFaults) { f.LateFrames = true }),
		engineFault("engine-no-reports", func(_ *step, f *engineapi.EngineFaults) { f.NoReports = true }),
	}
}

// serviceFault adds to the faults of one service.
func serviceFault(name string, change func(f *service.Faults, share float64)) fault {
	return fault{name: name, inject: func(_ context.Context, s *step) string {
		number := s.run.random.IntN(services)
		share := 0.2 + 0.8*s.run.random.Float64()
		server := s.run.demo.Services()[number]
		f := server.Faults()
		change(&f, share)
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
