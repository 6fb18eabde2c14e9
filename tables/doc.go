// Package tables defines the two tables that operators edit, routes and pools,
// and parses and validates the document that holds them.
//
// A document is JSON with comments. It is accepted or refused as a whole: Parse
// returns either a valid Document or an *Error that lists the problems with line,
// column and field. Documents must not be modified after Parse, so they can be
// shared between goroutines.
package tables
