// Package membership implements the gossip protocol between instances. It keeps
// track of which instances may be alive, which are leaving, which configuration
// they have in force and which targets they saw draining.
//
// Members is the state machine of the protocol: it takes events with their time
// and selects the peers for the next exchanges. It reads no clock and starts no
// goroutine. Task is the goroutine that owns a Members, together with the gRPC
// server and the client connections to the peers. Readers get an immutable View.
package membership
