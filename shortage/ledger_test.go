package shortage

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against exchanges in which full instances count more than others: a fleet whose
// mean is below the range of a shortage turns requests away then.
func TestUnevenlyFullInstancesAgreeOnTheMean(t *testing.T) {
	const (
		instances = 300
		maxError  = 0.01  // of the mean fullness over all instances
		maxTurned = 0.004 // of the demand, over all instances
	)
	random := rand.New(rand.NewPCG(1, 2))
	ledgers := make([]Ledger, instances)
	highest, turned, mean, samples := 0.0, 0.0, 0.0, 0.0
	for now := time.Duration(0); now < 8*time.Second; now += 50 * time.Millisecond {
		for i := range ledgers {
			l := &ledgers[i]
			if int(now/(50*time.Millisecond)+time.Duration(i))%2 == 0 {
				seen := Request(1, 0, time.Second).Plus(Request(2, 1, time.Second))
				seen.Started, seen.Refused, seen.Room, seen.Used = 1.5, 0.5, 5, 3 // 0.6 full
				if i%3 == 0 {
					seen.Used = 5 // full: 0.733 over all
				}
				l.Add(now, "s", seen)
			}
			if int(now/(50*time.Millisecond)+time.Duration(i))%5 != 0 {
				continue
			}
			if partner := random.IntN(instances); partner != i {
				sent := l.ToSend(now)
				ledgers[partner].Average(now, sent)
				l.Adopt(now, sent, ledgers[partner].Answer(now, sent, false))
			}
		}
		if now < 3*time.Second {
			continue
		}
		for i := range ledgers {
			s := ledgers[i].Sums(now, "s")
			level := NewCutoff(s).Level
			highest, turned, mean, samples = max(highest, level), turned+level, mean+s.fullness(), samples+1
		}
	}
	mean, turned = mean/samples, turned/samples
	t.Logf("mean fullness %.3f, turned away %.4f, highest level %.3f", mean, turned, highest)
	if mean > 0.733+maxError || mean < 0.733-maxError || turned > maxTurned {
		t.Errorf("mean fullness %.3f instead of 0.733, %.4f of the demand turned away", mean, turned)
	}
}

// Guards against sums that fade twice after a report with an earlier time.
func TestEarlierTimeDoesNotFadeSums(t *testing.T) {
	is := is.New(t)
	var l Ledger
	l.Add(time.Second, "s", Sums{Started: 2})
	l.Add(time.Second/2, "s", Sums{Started: 1})
	is.Equal(l.Sums(time.Second, "s").Started, 3.0)
}
