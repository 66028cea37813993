// Package operatorapi serves an instance's operators: health, metrics and the
// resources.
//
// Writes go to the platform's object API under a condition on the version that
// the operator saw. Of two operators one wins; the other gets a conflict with
// the current version. A write is checked before it is sent, by the same rules
// by which each instance accepts it.
//
//	GET    /healthz                          the process runs
//	GET    /readyz                           the configuration is known
//	GET    /metrics                          Prometheus text format
//	GET    /api/{kind}                       api.List
//	GET    /api/{kind}/{name}                api.Object
//	PUT    /api/{kind}/{name}?version=N      write; N is 0 to create; dryRun=true only checks
//	DELETE /api/{kind}/{name}?version=N      delete
//	GET    /api/explain?request=ID           list of api.Explanation
//	GET    /api/watch?from=N                 stream of api.WatchEvent
//
// The resources need the operators' token, except on a loopback address for
// which none is set.
package operatorapi
