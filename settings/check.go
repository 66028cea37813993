package settings

import (
	"encoding/hex"
	"net/netip"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
)

// fault is a value that does not pass, by its dotted key.
type fault struct {
	key   string
	cause string
}

// maxExplainRecords bounds the records of a pool. One takes up to 2 KB.
const maxExplainRecords = 100_000

// check returns the first fault, or nil.
func check(s Settings) *fault {
	checks := []func(Settings) *fault{
		checkInstance, checkAddresses, checkPorts, checkPeers, checkOperators, checkLimits, checkLog,
	}
	for _, c := range checks {
		if f := c(s); f != nil {
			return f
		}
	}
	return nil
}

func checkInstance(s Settings) *fault {
	if s.Instance.Name == "" {
		return &fault{"instance.name", "missing"}
	}
	if s.Instance.DataCentre == "" {
		return &fault{"instance.data_centre", "missing"}
	}
	return nil
}

func checkAddresses(s Settings) *fault {
	required := []struct{ key, value string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.operators", s.Listen.Operators},
		{"platform.address", s.Platform.Address},
	}
	for _, r := range required {
		if f := checkAddress(r.key, r.value); f != nil {
			return f
		}
	}
	if s.Listen.Peers != "" {
		if f := checkAddress("listen.peers", s.Listen.Peers); f != nil {
			return f
		}
	}
	for _, seed := range s.Peers.Seeds {
		if f := checkAddress("peers.seeds", seed); f != nil {
			return f
		}
	}
	return nil
}

func checkAddress(key, value string) *fault {
	if value == "" {
		return &fault{key, "missing"}
	}
	if _, err := ParseAddress(value); err != nil {
		return &fault{key, err.Error()}
	}
	return nil
}

// ParseAddress reads an IP number and a port. It refuses host names.
func ParseAddress(value string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		return netip.AddrPort{}, errors.Errorf("%q is not an IP number and a port", value)
	}
	return addr, nil
}

// checkPorts refuses one address for two listeners of the same protocol.
func checkPorts(s Settings) *fault {
	if s.Listen.Callers == s.Listen.Operators && !anyPort(s.Listen.Callers) {
		return &fault{"listen.operators", "the same address as listen.callers"}
	}
	if s.Listen.Peers == "" || anyPort(s.Listen.Peers) {
		return nil
	}
	if s.Listen.Peers == s.Listen.Callers || s.Listen.Peers == s.Listen.Operators {
		return &fault{"listen.peers", "an address that another listener uses"}
	}
	return nil
}

func anyPort(address string) bool {
	addr, err := ParseAddress(address)
	return err == nil && addr.Port() == 0
}

func checkPeers(s Settings) *fault {
	if s.Listen.Peers == "" {
		return nil
	}
	files := []struct{ key, value string }{
		{"peers.ca", s.Peers.CA},
		{"peers.certificate", s.Peers.Certificate},
		{"peers.key", s.Peers.Key},
	}
	for _, f := range files {
		if f.value == "" {
			return &fault{f.key, "missing, and listen.peers is set"}
		}
	}
	return nil
}

func checkOperators(s Settings) *fault {
	if s.Operators.TokenHash == "" {
		addr, err := ParseAddress(s.Listen.Operators)
		if err == nil && !addr.Addr().IsLoopback() {
			return &fault{"operators.token_hash", "missing, and listen.operators is not a loopback address"}
		}
		return nil
	}
	sum, err := hex.DecodeString(s.Operators.TokenHash)
	if err != nil || len(sum) != 32 {
		return &fault{"operators.token_hash", "not a hexadecimal SHA-256 sum"}
	}
	return nil
}

func checkLimits(s Settings) *fault {
	if s.Limits.BodyBytes <= 0 {
		return &fault{"limits.body_bytes", "must be above 0"}
	}
	if s.Limits.HeaderBytes <= 0 {
		return &fault{"limits.header_bytes", "must be above 0"}
	}
	if s.Limits.ExplainRecords < 0 || s.Limits.ExplainRecords > maxExplainRecords {
		return &fault{"limits.explain_records", "must be from 0 to 100000"}
	}
	durations := []struct {
		key   string
		value api.Duration
	}{
		{"platform.call_timeout", s.Platform.CallTimeout},
		{"limits.body_timeout", s.Limits.BodyTimeout},
		{"limits.stall_timeout", s.Limits.StallTimeout},
		{"limits.drain_timeout", s.Limits.DrainTimeout},
		{"limits.key_retention", s.Limits.KeyRetention},
	}
	for _, d := range durations {
		if d.value <= 0 {
			return &fault{d.key, "must be above 0"}
		}
	}
	return nil
}

func checkLog(s Settings) *fault {
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		return &fault{"log.level", "must be debug, info, warn or error"}
	}
	switch s.Log.Format {
	case "text", "json":
	default:
		return &fault{"log.format", "must be text or json"}
	}
	return nil
}
