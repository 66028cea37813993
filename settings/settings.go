package settings

import (
	"time"

	"bergamotpin.example/bergamotpin/api"
)

// Settings holds all settings of an instance. Each field is a table of the settings
// file.
type Settings struct {
	Instance  Instance  `toml:"instance"`
	Listen    Listen    `toml:"listen"`
	Platform  Platform  `toml:"platform"`
	Peers     Peers     `toml:"peers"`
	Operators Operators `toml:"operators"`
	Limits    Limits    `toml:"limits"`
	Log       Log       `toml:"log"`
}

// Instance identifies the instance.
type Instance struct {
	// Name is unique across all data centres.
	Name string `toml:"name"`
	// DataCentre is the name of the data centre where the instance runs.
	DataCentre string `toml:"data_centre"`
}

// Listen holds the addresses to listen on, each an IP address and port.
type Listen struct {
	Callers   string `toml:"callers"`
	Operators string `toml:"operators"`
	// Peers is a UDP address. If it is empty, the instance runs without peers.
	Peers string `toml:"peers"`
}

// Platform says how to reach the platform's object API.
type Platform struct {
	// Address is an IP address and port.
	Address string `toml:"address"`
	// CallTimeout bounds one call, except a watch.
	CallTimeout api.Duration `toml:"call_timeout"`
}

// Peers says how instances find and authenticate each other.
type Peers struct {
	// Seeds are the addresses of instances to contact first.
	Seeds []string `toml:"seeds"`
	// CA, Certificate and Key are the paths of PEM files for mutual TLS.
	CA          string `toml:"ca"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
}

// Operators controls access to the operators' API.
type Operators struct {
	// TokenHash is the lower-case hexadecimal SHA-256 hash of the operators'
	// token. It may be empty only if Listen.Operators is a loopback address.
	TokenHash string `toml:"token_hash"`
}

// Limits holds limits on the size and the time of requests. It also sets how long
// outcomes and how many explanations are kept.
type Limits struct {
	// BodyBytes is the size of the largest request body.
	BodyBytes int64 `toml:"body_bytes"`
	// HeaderBytes is the size of the largest request header.
	HeaderBytes int `toml:"header_bytes"`
	// BodyTimeout is the time within which a request body must arrive.
	BodyTimeout api.Duration `toml:"body_timeout"`
	// StallTimeout bounds the time between two frames of a response from a
	// backend server.
	StallTimeout api.Duration `toml:"stall_timeout"`
	// CallerTimeout is the time within which a caller must read what is written to
	// its connection.
	CallerTimeout api.Duration `toml:"caller_timeout"`
	// DrainTimeout bounds how long a leaving instance waits for its streams to
	// finish.
	DrainTimeout api.Duration `toml:"drain_timeout"`
	// KeyRetention is how long the outcome of a request with an idempotency key is
	// kept.
	KeyRetention api.Duration `toml:"key_retention"`
	// ExplainRecords is the number of explanations that each pool keeps.
	// Explanations of the latest scheduling decisions replace older ones. Zero
	// means that no explanations are kept.
	ExplainRecords int `toml:"explain_records"`
}

// Log sets the level and the format of the log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
	// Format is text or json.
	Format string `toml:"format"`
}

// Default returns the values of the settings that a file leaves out.
func Default() Settings {
	return Settings{
		Listen: Listen{
			Callers:   "127.0.0.1:8080",
			Operators: "127.0.0.1:8081",
		},
		Platform: Platform{CallTimeout: api.Duration(2 * time.Second)},
		Limits: Limits{
			BodyBytes:     4 << 20,
			HeaderBytes:   16 << 10,
			BodyTimeout:   api.Duration(10 * time.Second),
			StallTimeout:  api.Duration(10 * time.Second),
			CallerTimeout: api.Duration(30 * time.Second),
			DrainTimeout:  api.Duration(10 * time.Minute),
			KeyRetention:  api.Duration(24 * time.Hour),
		},
		Log: Log{Level: "info", Format: "text"},
	}
}
