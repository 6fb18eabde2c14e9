// Package fleet keeps what the instances of a fleet share: the records of a
// store that can only be read, and who is alive.
//
// A few instances, the readers, watch the store; all others get full state and
// changes from peers, with the store's revision. Readers are chosen by a hash
// of the live instances, spread over failure domains. An instance that hears of
// no reader with recent answers from the store reads for itself after a delay
// that depends on its place in that order, so one steps in at a time.
//
// Instances exchange state in pairs, at random and mostly within their failure
// domain, since bytes between domains cost more. The first reader tells a few
// instances of its own domain and one of each other domain of a change at once,
// and each of them tells its part of the rest. The instances that run are found from a few seeds that may be down.
package fleet
