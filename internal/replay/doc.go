// Package replay simulates load balancing policies on a recorded or generated
// trace of arrivals, in virtual time, and reports latencies and outcomes.
//
// It runs the Schedulers of all instances against simulated targets with slots,
// a queue, service times and network delay. The same trace and seed give the
// same figures on every machine. Baseline policies and an ideal central queue
// run on the same arrivals.
//
// A simulated target starts requests in order of arrival. Its load reports are
// one network delay old when they reach an instance. Probes use none of its
// capacity; they are only counted.
package replay
