package settings

import (
	"time"

	"bergamotpin.example/bergamotpin/api"
)

// Settings is the whole file.
type Settings struct {
	Instance  Instance  `toml:"instance"`
	Listen    Listen    `toml:"listen"`
	Platform  Platform  `toml:"platform"`
	Peers     Peers     `toml:"peers"`
	Operators Operators `toml:"operators"`
	Limits    Limits    `toml:"limits"`
	Log       Log       `toml:"log"`
}

// Instance says which instance this is.
type Instance struct {
	// Name is unique over all data centres.
	Name string `toml:"name"`
	// DataCentre is the data centre that the instance stands in.
	DataCentre string `toml:"data_centre"`
}

// Listen holds the addresses to listen on, each an IP number and a port.
type Listen struct {
	Callers   string `toml:"callers"`
	Operators string `toml:"operators"`
	// Peers is a UDP address. Empty means that the instance runs alone.
	Peers string `toml:"peers"`
}

// Platform says where the platform's object API is.
type Platform struct {
	// Address is an IP number and a port.
	Address string `toml:"address"`
	// CallTimeout bounds one call.
	CallTimeout api.Duration `toml:"call_timeout"`
}

// Peers holds how instances reach each other.
type Peers struct {
	// Seeds are addresses of other instances that are asked first.
	Seeds []string `toml:"seeds"`
	// CA, Certificate and Key are PEM files for mutual TLS.
	CA          string `toml:"ca"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
}

// Operators guards the operators' API.
type Operators struct {
	// TokenHash is the lower-case hexadecimal SHA-256 sum of the operators'
	// token. Empty is allowed only on a loopback address.
	TokenHash string `toml:"token_hash"`
}

// Limits bounds what callers may send and how long things may take.
type Limits struct {
	// BodyBytes bounds a request's body.
	BodyBytes int64 `toml:"body_bytes"`
	// HeaderBytes bounds a request's header.
	HeaderBytes int `toml:"header_bytes"`
	// BodyTimeout bounds the time in which a body arrives.
	BodyTimeout api.Duration `toml:"body_timeout"`
	// StallTimeout bounds the time between two frames of a backend server.
	StallTimeout api.Duration `toml:"stall_timeout"`
	// DrainTimeout bounds how long a leaving instance finishes its streams.
	DrainTimeout api.Duration `toml:"drain_timeout"`
	// KeyRetention is how long the outcome of an idempotency key is kept.
	KeyRetention api.Duration `toml:"key_retention"`
	// ExplainRecords is how many decisions each pool can explain. Zero keeps
	// none.
	ExplainRecords int `toml:"explain_records"`
}

// Log sets the logs.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
	// Format is text or json.
	Format string `toml:"format"`
}

// Default returns the settings that a file starts from.
func Default() Settings {
	return Settings{
		Listen: Listen{
			Callers:   "127.0.0.1:8080",
			Operators: "127.0.0.1:8081",
		},
		Platform: Platform{CallTimeout: api.Duration(2 * time.Second)},
		Limits: Limits{
			BodyBytes:    4 << 20,
			HeaderBytes:  16 << 10,
			BodyTimeout:  api.Duration(10 * time.Second),
			StallTimeout: api.Duration(10 * time.Second),
			DrainTimeout: api.Duration(10 * time.Minute),
			KeyRetention: api.Duration(24 * time.Hour),
		},
		Log: Log{Level: "info", Format: "text"},
	}
}
