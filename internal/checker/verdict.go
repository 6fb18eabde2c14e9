package checker

import "fmt"

// Verdict is the result of the check of one invariant.
type Verdict struct {
	Invariant string `json:"invariant"`
	// Checked counts the records that the invariant was checked against. An
	// invariant with no records holds; Checked is then 0.
	Checked int `json:"checked"`
	// Violations counts the records that violate the invariant. Examples describes
	// the first of them.
	Violations int      `json:"violations"`
	Examples   []string `json:"examples,omitempty"`
}

// Holds reports whether no record violates the invariant.
func (v Verdict) Holds() bool { return v.Violations == 0 }

// maxExamples is the maximum length of Verdict.Examples.
const maxExamples = 5

// addViolation counts a violation and keeps its description while there are fewer
// than maxExamples.
func (v *Verdict) addViolation(format string, args ...any) {
	v.Violations++
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, fmt.Sprintf(format, args...))
	}
}

// AllHold reports whether all invariants hold.
func AllHold(verdicts []Verdict) bool {
	for _, v := range verdicts {
		if !v.Holds() {
			return false
		}
	}
	return true
}
