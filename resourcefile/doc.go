// Package resourcefile reads the resources that operators keep in files.
//
// A file holds a list of resources, as TOML or, with the ending .json, as
// JSON:
//
//	[[resource]]
//	kind = "ServiceClass"
//	name = "lookup"
//	[resource.spec]
//	tier = 0
//	firstToken = "500ms"
//
// Reading is strict. A fault names file, line, key and cause.
package resourcefile
