// Package timeline records events of an instance in ring buffers of fixed size, and
// merges the events of several instances into one ordered time line.
//
// Each instance stamps events with its own clock. A reader estimates the offset
// of that clock from its own clock before and after the call to the instance. The
// error of the estimate is at most half of the round-trip time and is reported
// with the merged time line.
package timeline
