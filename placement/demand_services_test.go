package placement

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

// Guards against state of services that are gone and that is kept for good.
func TestStateOfRemovedServicesIsDropped(t *testing.T) {
	is := is.New(t)
	p := New("z", rand.New(rand.NewPCG(1, 2)))
	for i := range 100 {
		service := strconv.Itoa(i)
		p.SetTargets(0, map[string][]*catalog.Target{service: {{ID: service, Service: service, Slots: 1}}})
		p.Offer(0, &Request{Route: &catalog.Route{Name: "route " + service, Objective: time.Second}, Service: service, Deadline: time.Second, CallerTimeout: time.Second})
	}
	is.Equal(len(p.demand.cutoffs), 1)
	is.Equal(len(p.demand.usualTimeouts), 1)
}
