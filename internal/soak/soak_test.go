package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// regressions are seeds that once violated an invariant, each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

// build returns the path of the program under test.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "dogwoodroute-edge")
	command := exec.Command("go", "build", "-o", program, "../../cmd/dogwoodroute-edge")
	if output, err := command.CombinedOutput(); err != nil {
		t.Fatalf("build the program: %v\n%s", err, output)
	}
	return program
}

// Guards against invariants that real processes violate when signals, network
// faults and failing targets come in series and overlap. Time-bound invariants are
// checked in manual runs only, because a loaded machine violates them without a
// fault in the program.
func TestShortSoak(t *testing.T) {
	program := build(t)
	o := Options{Program: program, Instances: 4, Targets: 8, Callers: 12, Planned: 2 * time.Second, Faults: 4 * time.Second}
	play := func(t *testing.T, seed uint64) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute) // ends a run that hangs
		defer cancel()
		o := o
		o.Seed, o.Directory = seed, t.TempDir()
		result, err := Run(ctx, o)
		is.NoErr(err)
		for _, violation := range result.Violations {
			t.Error(violation)
		}
		is.True(result.Served > 0)
	}
	play(t, 1)
	for _, r := range regressions {
		t.Run(r.cause, func(t *testing.T) { play(t, r.seed) })
	}
}
