// Package placement decides which discovered target runs a request.
//
// The speed of a target changes within milliseconds, so a load report is useful
// only for a short time. For each request a few targets are probed for their
// load, those of the instance's own failure domain first, and the one with the
// earliest expected completion is chosen. The estimate takes into account the
// requests that the target runs and queues, the speed of its machine, the
// requests sent since the report, its warm-up and its recent failures.
//
// The throughput of some targets falls when they are nearly full. The number of
// requests with the highest throughput, the saturation point, is learned for each
// service. Ordinary and late requests use a target only up to this point; urgent ones
// that can still be on time may use all its slots. A request that finds no room waits
// and tries again at short intervals, for a part of the time in which it can meet its
// objective and only if the requests that wait already leave room for it; otherwise it
// is refused. Without a probe budget the load of targets is predicted. This covers load
// above the capacity of the targets that lasts for seconds, such as a load peak while
// some targets are missing.
//
// While a service is short of room over the whole fleet, package shortage says which share
// of each route's requests is admitted. Offer applies it when a request arrives, and the
// slots above the saturation point, the retry budget and the places in the queue go to the
// routes that come first.
//
// Placer holds the state. Times are on the monotonic clock of the instance.
package placement
