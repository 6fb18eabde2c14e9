package catalog_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

// Guards against shares that differ from the weights over few requests.
func TestSplitFollowsWeights(t *testing.T) {
	is := is.New(t)
	route := &catalog.Route{Name: "r", Services: []catalog.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10},
		{Service: "none", Weight: 0}}}
	s := catalog.NewSplitter(rand.New(rand.NewPCG(1, 2)).Float64)
	counts := make(map[string]int)
	for range 1000 {
		counts[s.Next(route)]++
	}
	is.True(math.Abs(float64(counts["a"])-900) <= 2)
	is.True(math.Abs(float64(counts["b"])-100) <= 2)
	is.Equal(counts["none"], 0)
}

// Guards against a panic, and against choosing a service, when all weights are zero.
func TestSplitWithZeroWeights(t *testing.T) {
	is := is.New(t)
	s := catalog.NewSplitter(func() float64 { return 0 })
	is.Equal(s.Next(&catalog.Route{Name: "r", Services: []catalog.WeightedService{{Service: "a"}, {Service: "b"}}}), "")
}
