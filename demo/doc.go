// Package demo runs the whole system in one process on loopback: the stand-in
// platform, model engines, a plain service in each data centre, and several
// entry instances, under the load of one user's workload.
//
// All draws come from one seed. The end of a run checks what callers were
// promised against what the backend servers say they ran.
package demo
