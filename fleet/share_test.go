package fleet_test

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against instances that disagree on which of them share a key, against shares
// that always go to the same ones, and against shares far from where they are used.
func TestInstancesAgreeOnShares(t *testing.T) {
	is := is.New(t)
	const keys, owners = 200, 2
	c := newCluster(t, 2)
	c.setVersion(1)
	c.startAll(3)
	c.await("6 members", func(i *instance) bool { return i.Snapshot().Size == 6 })
	shares := make(map[*instance]int)
	for key := range uint64(keys) {
		mine, local := 0, 0
		for ip, i := range c.running {
			has, of := i.Snapshot().Share(key, 1, owners)
			is.Equal(of, owners)
			if has {
				shares[i]++
				mine++
				if ip.As4()[2] == 1 {
					local++
				}
			}
		}
		is.Equal(mine, owners)
		is.Equal(local, owners)
	}
	is.Equal(len(shares), 3) // the instances of the failure domain
	for _, n := range shares {
		is.True(n > keys*owners/3/2)
	}
	mine, of := c.running[address(0, 1)].Snapshot().Share(1, 1, 100)
	is.True(mine)
	is.Equal(of, 6)
	leaving := c.running[address(1, 1)]
	leaving.Leave()
	c.await("5 members", func(i *instance) bool { return i == leaving || i.Snapshot().Size == 5 })
	c.await("no share of the one that leaves", func(i *instance) bool {
		mine, _ := i.Snapshot().Share(1, 1, 100)
		return mine == (i != leaving)
	})
}
