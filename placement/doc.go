// Package placement decides which discovered target runs a request.
//
// The speed of a target changes within milliseconds, so a load report is
// useful only at the moment of choice: a few targets are asked for their load
// for each request, those of the own failure domain first, and the one with
// the earliest expected completion is taken. The estimate counts the requests
// that the target runs and holds, the pace of its machine, the requests sent
// since the report, the end of its warm-up, and recent failures.
//
// Some targets complete less when they are nearly full, so ordinary requests
// use a target only up to that knee. A request waits for room as long as it
// can be answered within its objective, and is asked for again shortly after;
// the most urgent ranks may use all slots at once. When the objective cannot be
// met any more, it takes what can answer before the deadline, and is refused
// when that is not found soon. This answers loads above the capacity of the
// targets for seconds, as in the crest of a swing with targets missing.
//
// Placer is the decision state. One goroutine owns it; all methods take the
// time on the instance's steady clock.
package placement
