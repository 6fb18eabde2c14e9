// Package refusal defines the responses that dogwoodroute sends instead of a
// target's response, and their HTTP encoding.
//
// A refusal states who refused the request (a person who edited the tables, or the
// program), whether the request was run, and when to retry. "not run" is a
// guarantee: no target has run the request and none will.
package refusal
