// Package shortage decides which requests are turned away while a service has less room
// than its callers ask for. It covers load above the capacity of a service's targets that
// lasts for seconds: a burst, a wave, or the loss of a part of the targets.
//
// One instance of many sees too few requests to tell a shortage from chance. Each keeps
// decaying Sums of what it sees, of the demand by route, of what started, and of how full
// the targets report to be. Instances average the sums in the exchanges that they make
// anyway, so that after a few exchanges all of them hold about the same sums, without a
// coordinator. NewCutoff derives the same decision from the same sums.
//
// The sums fade with a half-life of SumsHalfLife on the holder's clock, so that a figure
// that nobody renews is forgotten. A cut-off takes effect only as far as the targets'
// reports show that they are full.
//
// Nothing here reads a clock, locks or starts a goroutine; times are passed in.
package shortage
