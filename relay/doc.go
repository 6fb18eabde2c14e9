// Package relay passes requests of callers from an instance that reaches no target of
// their service to one that does. Chooser decides which instance gets a request, Client
// sends it there, and Server receives it.
package relay
