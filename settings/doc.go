// Package settings reads an instance's settings from a TOML file.
//
// Reading is strict: an unknown key, a value of the wrong type, a host name
// where an IP number belongs, a duration that is not positive, a missing data
// centre or a port used twice is an error that names file, line, key and
// cause. Nothing starts on settings that did not pass.
package settings
