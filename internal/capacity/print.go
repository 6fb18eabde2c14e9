package capacity

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"github.com/go-faster/errors"
)

// WriteTable writes a report as tables, grouped by component.
func WriteTable(w io.Writer, r *Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "Measured on a shared machine: %s\n", r.Machine) // Flush reports errors
	_, _ = fmt.Fprintf(table, "y = a + b·x by least squares, %.0f s\n", r.Seconds)
	var role Component
	byRole := slices.SortedStableFunc(slices.Values(r.Measurements), func(a, b Measurement) int { return cmp.Compare(a.Component, b.Component) })
	for _, m := range byRole {
		if m.Component != role {
			role = m.Component
			_, _ = fmt.Fprintf(table, "\n%s\nCOST\tUNIT\tx\tRANGE OF x\ta\tb\tERROR\ty AT LARGEST x\n", role)
		}
		last := m.Points[len(m.Points)-1]
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%.0f to %.0f\t%s\t%s\t%s\t%s\n", m.Cost, m.Unit, m.Variable, m.Points[0].X,
			last.X, number(m.Fit.Intercept), number(m.Fit.Slope), number(m.Fit.Residual), number(last.Y))
	}
	writeTraffic(table, r.Traffic)
	for _, name := range r.Skipped {
		_, _ = fmt.Fprintf(table, "\nnot measured: %s\n", name)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "print measurements")
	}
	return nil
}

func writeTraffic(w io.Writer, kinds []Traffic) {
	_, _ = fmt.Fprintf(w, "\ncontrol traffic of one instance, by count: %d targets, %d instances\nKIND\tMESSAGES/s\tB/s\n",
		designTargets, designInstances) // Flush reports errors
	sum := 0.0
	for _, k := range kinds {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", k.Kind, number(k.MessagesPerSecond), number(k.BytesPerSecond))
		sum += k.BytesPerSecond
	}
	_, _ = fmt.Fprintf(w, "all\t\t%s\n", number(sum))
}

// number formats x with three significant digits, or without decimals if it is
// 100 or more.
func number(x float64) string {
	if math.Abs(x) >= 100 {
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.3g", x)
}
