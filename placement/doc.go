// Package placement decides which discovered target runs a request.
//
// The speed of a target changes within milliseconds, so a load report is
// useful only at the moment of choice: a few targets are asked for their load
// for each request, those of the own failure domain first, and the one with
// the earliest expected completion is taken. The estimate counts the requests
// that the target runs and holds, the pace of its machine, the requests sent
// since the report, the end of its warm-up, and recent failures.
//
// A request waits when no target that was asked can complete it in time or has
// room, and is asked for again shortly after. It is refused when that has gone
// on for a share of its objective that grows with its urgency. This answers
// loads above the capacity of the targets for seconds: waiting longer would
// make the work late that could still be on time.
//
// Placer is the decision state. One goroutine owns it; all methods take the
// time on the instance's steady clock.
package placement
