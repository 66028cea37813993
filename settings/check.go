package settings

import (
	"encoding/hex"
	"net/netip"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
)

// problem describes an invalid setting by its dotted key and the cause.
type problem struct {
	key   string
	cause string
}

// maxExplainRecords bounds the number of explanations that are kept for each pool.
// An explanation takes up to 2 KB of memory.
const maxExplainRecords = 100_000

// check returns the first problem that it finds, or nil if there is none.
func check(s Settings) *problem {
	checks := []func(Settings) *problem{
		checkInstance, checkAddresses, checkDistinctAddresses, checkPeers, checkOperators, checkLimits, checkLog,
	}
	for _, checkPart := range checks {
		if p := checkPart(s); p != nil {
			return p
		}
	}
	return nil
}

func checkInstance(s Settings) *problem {
	if s.Instance.Name == "" {
		return &problem{"instance.name", "missing"}
	}
	if s.Instance.DataCentre == "" {
		return &problem{"instance.data_centre", "missing"}
	}
	return nil
}

func checkAddresses(s Settings) *problem {
	required := []struct{ key, value string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.operators", s.Listen.Operators},
		{"platform.address", s.Platform.Address},
	}
	for _, field := range required {
		if p := checkAddress(field.key, field.value); p != nil {
			return p
		}
	}
	if s.Listen.Peers != "" {
		if p := checkAddress("listen.peers", s.Listen.Peers); p != nil {
			return p
		}
	}
	for _, seed := range s.Peers.Seeds {
		if p := checkAddress("peers.seeds", seed); p != nil {
			return p
		}
	}
	return nil
}

func checkAddress(key, value string) *problem {
	if value == "" {
		return &problem{key, "missing"}
	}
	if _, err := ParseAddress(value); err != nil {
		return &problem{key, err.Error()}
	}
	return nil
}

// ParseAddress parses an IP address and port. It fails on host names.
func ParseAddress(value string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		return netip.AddrPort{}, errors.Errorf("%q is not an IP number and a port", value)
	}
	return addr, nil
}

// checkDistinctAddresses rejects an address that two listeners share. Listeners may
// share an address whose port is 0.
func checkDistinctAddresses(s Settings) *problem {
	if s.Listen.Callers == s.Listen.Operators && !hasPortZero(s.Listen.Callers) {
		return &problem{"listen.operators", "the same address as listen.callers"}
	}
	if s.Listen.Peers == "" || hasPortZero(s.Listen.Peers) {
		return nil
	}
	if s.Listen.Peers == s.Listen.Callers || s.Listen.Peers == s.Listen.Operators {
		return &problem{"listen.peers", "an address that another listener uses"}
	}
	return nil
}

// hasPortZero reports whether the address lets the system choose a free port.
func hasPortZero(address string) bool {
	addr, err := ParseAddress(address)
	return err == nil && addr.Port() == 0
}

// checkPeers requires the TLS files if the instance listens for peers.
func checkPeers(s Settings) *problem {
	if s.Listen.Peers == "" {
		return nil
	}
	files := []struct{ key, value string }{
		{"peers.ca", s.Peers.CA},
		{"peers.certificate", s.Peers.Certificate},
		{"peers.key", s.Peers.Key},
	}
	for _, file := range files {
		if file.value == "" {
			return &problem{file.key, "missing, and listen.peers is set"}
		}
	}
	return nil
}

// checkOperators requires an operators' token, unless the operators' listener has a
// loopback address. It also checks the form of the token's hash.
func checkOperators(s Settings) *problem {
	if s.Operators.TokenHash == "" {
		addr, err := ParseAddress(s.Listen.Operators)
		if err == nil && !addr.Addr().IsLoopback() {
			return &problem{"operators.token_hash", "missing, and listen.operators is not a loopback address"}
		}
		return nil
	}
	sum, err := hex.DecodeString(s.Operators.TokenHash)
	if err != nil || len(sum) != 32 {
		return &problem{"operators.token_hash", "not a hexadecimal SHA-256 sum"}
	}
	return nil
}

func checkLimits(s Settings) *problem {
	if s.Limits.BodyBytes <= 0 {
		return &problem{"limits.body_bytes", "must be above 0"}
	}
	if s.Limits.HeaderBytes <= 0 {
		return &problem{"limits.header_bytes", "must be above 0"}
	}
	if s.Limits.ExplainRecords < 0 || s.Limits.ExplainRecords > maxExplainRecords {
		return &problem{"limits.explain_records", "must be from 0 to 100000"}
	}
	durations := []struct {
		key   string
		value api.Duration
	}{
		{"platform.call_timeout", s.Platform.CallTimeout},
		{"limits.body_timeout", s.Limits.BodyTimeout},
		{"limits.stall_timeout", s.Limits.StallTimeout},
		{"limits.caller_timeout", s.Limits.CallerTimeout},
		{"limits.drain_timeout", s.Limits.DrainTimeout},
		{"limits.key_retention", s.Limits.KeyRetention},
	}
	for _, d := range durations {
		if d.value <= 0 {
			return &problem{d.key, "must be above 0"}
		}
	}
	return nil
}

func checkLog(s Settings) *problem {
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		return &problem{"log.level", "must be debug, info, warn or error"}
	}
	switch s.Log.Format {
	case "text", "json":
	default:
		return &problem{"log.format", "must be text or json"}
	}
	return nil
}
