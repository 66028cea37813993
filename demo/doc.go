// Package demo runs the whole system in one process on the loopback interface:
// the stand-in platform, model engines, plain services and several entry
// instances, under the load of a preset workload.
//
// One seed determines all random choices. At the end of a load the guarantees
// to callers are checked against what the backend servers ran.
package demo
