// Package bench runs scenarios with real instances, targets and callers over
// loopback in one process. It compares each run with all policies of package
// replay on the same arrivals, in virtual time. It also measures the overhead of
// one instance.
package bench
