// Package fleet replicates the records of a read-only store, the membership and
// recent failure reports between the instances of a fleet.
//
// A few instances, the readers, watch the store; all others get full state and
// changes from peers, with the store's revision. Readers are chosen by a hash
// of the live instances, spread over failure domains. An instance that receives no
// heartbeat of a reader with recent answers from the store becomes a reader after
// a delay that depends on its place in that order, so that instances take over one
// at a time.
//
// State spreads by gossip: instances exchange state in pairs, at random and mostly
// within their failure domain, since bytes between domains cost more. Changes of the
// store are also broadcast along a tree: the first reader sends them to a few
// instances of its own domain and to one of each other domain, and each of these
// forwards them to its share of the rest. A starting instance finds the others
// through a few seeds, some of which may be down.
package fleet
