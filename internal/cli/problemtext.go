package cli

import (
	"fmt"

	"github.com/dogwoodroute/dogwoodroute/admin"
)

// problemText formats a problem with its field and position, if known, on one line.
func problemText(p admin.Problem) string {
	text := p.Message
	if p.Field != "" {
		text = p.Field + ": " + text
	}
	if p.Line > 0 {
		text = fmt.Sprintf("line %d, column %d: %s", p.Line, p.Column, text)
	}
	return text
}
