// Package settings reads an instance's settings from a TOML file.
//
// Parsing is strict. Among others, these are errors: an unknown key, a value of the
// wrong type, a host name in place of an IP address, a duration that is not
// positive, a missing data centre, and an address used by two listeners. Each error
// names the file, line, key and cause. An instance does not start with invalid
// settings.
package settings
