package admin_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/admin"
	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/dispatch"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// Guards against disagreements that are not listed, and against listing values
// that are the same on all instances.
func TestCompare(t *testing.T) {
	is := is.New(t)
	a, b, c := fullStatus("a"), fullStatus("b"), fullStatus("c")
	is.Equal(len(admin.Compare([]admin.Status{a, b, c})), 0)
	b.Configuration.Digest = "other"
	c.Pools[0].Targets[0].State = admin.TargetEjected
	list := admin.Compare([]admin.Status{c, b, a})
	is.Equal(len(list), 2)
	is.Equal(list[0], admin.Disagreement{Subject: admin.SubjectVersion, Views: []admin.View{
		{Value: "version 4, digest d4", Instances: []string{"a", "c"}}, {Value: "version 4, digest other", Instances: []string{"b"}}}})
	is.Equal(list[1], admin.Disagreement{Subject: admin.SubjectTarget, Pool: "p", Target: "t1", Views: []admin.View{
		{Value: "serving", Instances: []string{"a", "b"}}, {Value: "ejected", Instances: []string{"c"}}}})
}

// Guards against a target that is shown as available although it receives no
// requests.
func TestNewPool(t *testing.T) {
	is := is.New(t)
	pool := admin.NewPool(&tables.Pool{Name: "p"}, &dispatch.Snapshot{Waiting: [3]int{1, 2, 3},
		Counters: dispatch.Counters{Arrivals: 300, Sends: 110, Retries: 4, Hedges: 1}, Targets: []balancer.TargetStatus{
			{Weight: 1, LatencyFactor: 1}, {Weight: 1, LatencyFactor: 2}, {Weight: 0.5, LatencyFactor: 3}, {Weight: 0.5, EjectedFor: time.Second},
			{Weight: 1, EjectedFor: time.Second, DrainReported: true}, {Weight: 1, DrainTable: true}, {Weight: 1, DrainListed: true}}})
	var states []admin.TargetState
	for _, target := range pool.Targets {
		states = append(states, target.State)
	}
	is.Equal(states, []admin.TargetState{admin.TargetServing, admin.TargetSlow, admin.TargetCold, admin.TargetEjected,
		admin.TargetDraining, admin.TargetDraining, admin.TargetDraining})
	is.Equal(pool.Queue, admin.Queue{High: 1, Normal: 2, Low: 3})
	is.Equal(pool.ExtraAttempts, admin.ExtraAttempts{Retries: 4, Hedges: 1, Budget: 10})
	is.Equal(pool.Targets[3].EjectedForMillis, int64(1000))
}
