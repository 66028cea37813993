// Package api holds the resources that operators write and the messages of
// the platform's object API.
//
// An object has a kind, a name, a spec that operators write and a status that
// the system writes. The platform stamps each write with a version. Versions
// come from one counter, so they order all writes of all objects.
//
// Validate is pure and depends on the spec alone: every instance reaches the
// same verdict on the same bytes.
package api
