// Package jsonc strictly decodes JSON with comments and reports errors with their
// line, column and field.
package jsonc
