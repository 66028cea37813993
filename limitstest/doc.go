// Package limitstest holds tests of the system's own processes under callers that don't stay
// inside the limits: bodies and heads that are too large, never end or stop short, and callers
// that don't read their responses.
//
// Each test starts one entry instance as a process on loopback addresses, with limits that are
// small enough for a small crowd, and checks only what doesn't depend on the speed of the machine:
// the process lives, its peak of resident memory and its open descriptors stay within the
// settings, and one ordinary request is answered while the crowd is still connected. The crowds
// and the bounds are fixed; they are not to be thinned to make a test pass.
package limitstest
