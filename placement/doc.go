// Package placement decides which discovered target runs a request.
//
// The speed of a target changes within milliseconds, so a load report is useful
// only for a short time. For each request a few targets are probed for their
// load, those of the instance's own failure domain first, and the one with the
// earliest expected completion is chosen. The estimate takes into account the
// requests that the target runs and queues, the speed of its machine, the
// requests sent since the report, its warm-up and its recent failures.
//
// The throughput of some targets falls when they are nearly full, so ordinary
// requests use a target only up to this saturation point; urgent requests may
// use all its slots. A request that finds no room waits and tries again at short
// intervals while it can be answered within its objective. After that, any target
// that can respond before the deadline is accepted, and the request is refused if
// none is found soon. This covers load above the capacity of the targets that
// lasts for seconds, such as a load peak while some targets are missing.
//
// Placer holds the state. Times are on the monotonic clock of the instance.
package placement
