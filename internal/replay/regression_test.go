package replay_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/internal/replay"
)

var update = flag.Bool("update", false, "rewrite the expected outcomes of the traces under testdata")

// Guards against unnoticed changes of decisions: every figure of the policy
// Decided on the committed traces must equal the committed outcome.
//
// The outcomes may be rewritten (go test ./internal/replay -run
// TestStatedOutcomes -update) only in a commit that changes decisions on
// purpose and states the figures of replay before and after in its body, and
// only while all tests of targets_test.go pass. The traces are never rewritten.
// They were made with "replay --write":
//   - steady: instituto-85, 600 ms.
//   - slow: mixed, 700 ms, with a slow and a failing target in the header.
//   - overload: calorvigia-85, 300 ms, with 2 instead of 6 slots and target
//     queues of 2 in the header, which makes 2.5 times the capacity.
//
// The outcomes are those of amd64. Architectures on which Go fuses
// multiplication and addition may round differently.
func TestStatedOutcomes(t *testing.T) {
	for _, name := range []string{"steady", "slow", "overload"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text, err := os.ReadFile(filepath.Join("testdata", name+".jsonl"))
			is.NoErr(err)
			trace, err := replay.Read(bytes.NewReader(text))
			is.NoErr(err)
			got, err := json.MarshalIndent(run(t, trace, replay.Decided), "", "  ")
			is.NoErr(err)
			golden := filepath.Join("testdata", name+".outcome.json")
			if *update {
				is.NoErr(os.WriteFile(golden, append(got, '\n'), 0o644))
			}
			want, err := os.ReadFile(golden)
			is.NoErr(err)
			if !bytes.Equal(bytes.TrimSpace(want), got) {
				t.Errorf("the outcome differs from %s:\n%s", golden, got)
			}
		})
	}
}
