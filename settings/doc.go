// Package settings reads an instance's settings from a TOML file.
//
// Parsing is strict: an unknown key, a value of the wrong type, a host name in
// place of an IP address, a duration that is not positive, a missing data centre
// or an address used by two listeners is an error that names file, line, key and
// cause. An instance does not start with invalid settings.
package settings
