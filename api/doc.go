// Package api defines the resources that operators write and the messages of the
// platform's object API.
//
// An object has a kind, a name, a spec that operators write and a status that the
// router writes. The platform gives each write a version. All versions come from
// one counter, so they order all writes of all objects.
//
// Validate depends only on the object's kind, name and spec, so all instances
// agree on whether an object is valid.
package api
