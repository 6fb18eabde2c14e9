package fleet

import "strings"

// maxErrorBytes bounds the text of an error in the log. That of a decoder may contain the
// value, which is up to a megabyte.
const maxErrorBytes = 500

// logText returns the text of an error for the log.
func logText(err error) string {
	text := err.Error()
	return strings.ToValidUTF8(text[:min(len(text), maxErrorBytes)], "")
}
