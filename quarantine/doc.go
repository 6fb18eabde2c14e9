// Package quarantine keeps requests that crash their targets away from them.
//
// An instance that loses a target while a request runs there reports a strike
// against the request. Strikes are shared by all instances. A request with
// strikes from several targets is blocked for a while, since it would take down
// one target after the other.
package quarantine
