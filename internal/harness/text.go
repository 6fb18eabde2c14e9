package harness

import (
	"fmt"
	"strings"

	"github.com/dogwoodroute/dogwoodroute/internal/checker"
)

// WriteVerdicts writes a line for each invariant, followed by examples of its
// violations.
func WriteVerdicts(text *strings.Builder, verdicts []checker.Verdict) {
	text.WriteString("Invariants, checked on what callers, targets and instances recorded:\n")
	for _, v := range verdicts {
		state := "holds"
		switch {
		case !v.Holds():
			state = "BROKEN"
		case v.Checked == 0:
			state = "nothing to check"
		}
		fmt.Fprintf(text, "  %-52s %s (%d checked, %d violations)\n", v.Invariant, state, v.Checked, v.Violations)
		for _, example := range v.Examples {
			fmt.Fprintf(text, "      %s\n", example)
		}
	}
}
