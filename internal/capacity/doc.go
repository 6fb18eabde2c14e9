// Package capacity measures how the cost of each component of a fleet grows with
// its size, using small fleets and fake targets on one machine, and fits a line
// to each cost. Processor time is that of the whole process, and the machine may
// be shared, so figures can only be compared with others of the same run.
package capacity
