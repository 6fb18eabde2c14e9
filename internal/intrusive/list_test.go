package intrusive_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/dogwoodroute/dogwoodroute/internal/intrusive"
)

type item struct {
	n    int
	link intrusive.Element[item]
}

// Guards against lost or repeated values when elements are added and removed at any
// position. A slice with the same operations is the reference.
func TestListAgreesWithSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list intrusive.List[item]
		var want []*item
		for n := range rapid.IntRange(1, 50).Draw(t, "steps") {
			i := &item{n: n}
			i.link.Value = i
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				list.PushFront(&i.link)
				want = slices.Insert(want, 0, i)
			case 1:
				if len(want) > 0 {
					k := rapid.IntRange(0, len(want)-1).Draw(t, "place")
					want[k].link.Unlink()
					want = slices.Delete(want, k, k+1)
				}
			default:
				list.Push(&i.link)
				want = append(want, i)
			}
			var got []*item
			for i := list.Head(); i != nil; i = i.link.Next() {
				got = append(got, i)
			}
			if !slices.Equal(got, want) || list.Len() != len(want) || (len(want) > 0 && list.Tail() != want[len(want)-1]) {
				t.Fatalf("%d values in place of %d", len(got), len(want))
			}
		}
	})
}
