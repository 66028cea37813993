// Package operatorapi serves an instance's operators: health, readiness,
// metrics and configuration resources.
//
// Writes go to the platform's object API and are conditional on the version
// that the operator read. If two operators write the same resource at the same
// time, one write succeeds. The other operator gets a conflict error with the
// current version. Before a resource is sent to the platform, it is validated
// by the rules by which instances accept it.
//
//	GET    /healthz                          the process is running
//	GET    /readyz                           the configuration is known and the instance is not leaving
//	GET    /metrics                          Prometheus text format
//	GET    /api/{kind}                       api.List
//	GET    /api/{kind}/{name}                api.Object
//	PUT    /api/{kind}/{name}?version=N      write; N=0 creates; dryRun=true only validates
//	DELETE /api/{kind}/{name}?version=N      delete
//	GET    /api/explain?request=ID           list of api.Explanation
//	GET    /api/watch?from=N                 stream of api.WatchEvent
//
// All paths below /api need the operators' token. The settings may omit the
// token only if the operators' address is a loopback address.
package operatorapi
