package fleet_test

import (
	"maps"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against failure domains that cannot reach each other, in one direction or both, and do
// not work through a third one that reaches both: versions that come late, instances that the
// others believe to be down, or a fleet that reads the store everywhere.
func TestTwoDomainsThatReachEachOtherThroughAThird(t *testing.T) {
	for _, c := range []struct {
		name string
		cuts [][2]byte
	}{
		{"both ways", [][2]byte{{0, 1}, {1, 0}}},
		{"one way", [][2]byte{{0, 1}}},
		{"other way", [][2]byte{{1, 0}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const size = 12
				fleet := newSimulatedCluster(t, 3, size/3)
				fleet.store.resetCalls(5 * time.Second)
				before := fleet.store.callCount()
				for _, cut := range c.cuts {
					fleet.pipes.cutOneWay(cut[0], cut[1])
				}
				latest, fewest, smallest, isolated := time.Duration(0), size, size, 0
				fleet.store.resetCalls(0)
				const steps = 30
				for n := range int64(steps) {
					time.Sleep(500 * time.Millisecond)
					fleet.setVersion(2 + n)
					latest = max(latest, fleet.untilAll("the version", version(2+n)))
					for ip, i := range fleet.running {
						s := i.Snapshot()
						smallest = min(smallest, s.Size)
						if s.Isolated {
							isolated++
						}
						if ip.As4()[2] == 2 {
							fewest = min(fewest, len(s.Live))
						}
					}
				}
				t.Logf("in force %v after the acknowledgement at most, at least %d live in the third domain, size %d, %d times isolated, calls %d in 5 s before, %d in %d s",
					latest, fewest, smallest, isolated, before, fleet.store.callCount(), steps/2)
				fleet.pipes.heal()
				is.True(latest < time.Second)
				is.Equal(fewest, size)
				is.Equal(smallest, size)
				is.Equal(isolated, 0)
			})
		})
	}
}

// Guards against members of a failure domain that is lost, or single ones, that go on counting as
// live, since each instance asks others to confirm that they are down.
func TestLossOfMembersOfAnotherDomainIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const size = 12
		fleet := newSimulatedCluster(t, 3, size/3)
		live := func(n int) func(*instance) bool { return func(i *instance) bool { return len(i.Snapshot().Live) == n } }
		fleet.stop(address(1, 3))
		single := fleet.untilAll("one instance less", live(size-1))
		for domain := range byte(3) {
			if domain != 1 {
				fleet.pipes.cutOneWay(1, domain)
				fleet.pipes.cutOneWay(domain, 1)
			}
		}
		lost := make(map[netip.Addr]*instance)
		for ip, i := range fleet.running {
			if ip.As4()[2] == 1 {
				lost[ip] = i
				delete(fleet.running, ip)
			}
		}
		domain := fleet.untilAll("one failure domain less", live(size*2/3))
		maps.Copy(fleet.running, lost)
		fleet.pipes.heal()
		healed := fleet.untilAll("all live again", live(size-1))
		t.Logf("one instance lost: known after %v; a domain: %v; known that it is back: %v", single, domain, healed)
		is.True(single < 3*time.Second)
		is.True(domain < 6*time.Second) // the platform allows 6 s until callers must not get their addresses
		is.True(healed < 6*time.Second)
	})
}
