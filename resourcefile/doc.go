// Package resourcefile reads and writes the resources that operators keep in
// files.
//
// A file holds a list of resources. It is JSON if its name ends in .json, and
// TOML otherwise:
//
//	[[resource]]
//	kind = "ServiceClass"
//	name = "lookup"
//	[resource.spec]
//	tier = 0
//	firstToken = "500ms"
//
// Parsing is strict: an unknown key or an invalid resource is an error. Each error
// names the file, line, key and cause.
package resourcefile
