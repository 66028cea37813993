// Package demo runs the whole system in one process on the loopback interface:
// the stand-in platform, model engines, plain services and several entry
// instances, under the load of a preset workload.
//
// One seed determines all random choices. After a load, Demo.RunLoad compares
// what callers were told with what the backend servers ran, and reports each
// violated guarantee.
package demo
