package shortage

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a route without requests that stays in the sums while its service has
// others, and so counts as a second kind of request.
func TestRouteWithoutRequestsIsRemoved(t *testing.T) {
	is := is.New(t)
	var l Ledger
	l.Add(0, "s", Request(1, 0, time.Second))
	for at := time.Duration(0); at < 60*time.Second; at += 100 * time.Millisecond {
		s := Request(2, 1, time.Second)
		s.Refused, s.Room, s.Used = 1, 10, 10
		l.Add(at, "s", s)
	}
	s := l.Sums(60*time.Second, "s")
	is.Equal(len(s.Routes), 1)
	is.Equal(NewCutoff(s).Level, 0.0)
	is.Equal(len(l.ToSend(60*time.Second)), 0)
}

// Guards against a few stray requests of a route by which another is turned away.
func TestRouteWithLittleDemandIsNotInOrder(t *testing.T) {
	is := is.New(t)
	s := Request(1, 1, 100*time.Second).Plus(Request(2, 0, time.Second/2))
	s.Started, s.Refused, s.Room, s.Used = 50, 50, 100, 100
	is.Equal(NewCutoff(s).Level, 0.0)
	s = s.Plus(Request(2, 0, 5*time.Second))
	is.Equal(NewCutoff(s).Level, 0.5)
}

// Guards against routes that keep one with more demand out of the sums because of their keys.
func TestRoutesWithMostSlotTimeAreKept(t *testing.T) {
	is := is.New(t)
	var few Sums
	for key := range RouteKey(maxRoutes) {
		few = few.Plus(Request(key, 1, 10*time.Millisecond))
	}
	much := Request(99, 1, time.Second)
	has := func(s Sums) bool {
		return len(s.Routes) == maxRoutes && slices.ContainsFunc(s.Routes, func(r RouteSums) bool { return r.Key == 99 })
	}
	is.True(has(few.Plus(much)))
	is.True(has(few.mean(much)))
	is.True(has(few.changed(Sums{}, much)))
	is.True(few.Plus(much).Valid()) // still sorted by key
}

// Guards against sums of a peer that cannot be and decide for the fleet.
func TestImplausibleSumsAreInvalid(t *testing.T) {
	is := is.New(t)
	good := Request(1, 0, time.Second).Plus(Request(2, 0, time.Second))
	good.Room, good.Used = 4, 4
	is.True(good.Valid())
	for name, change := range map[string]func(*Sums){
		"used above room":  func(s *Sums) { s.Used = 4.1 },
		"too large":        func(s *Sums) { s.Started = 2.1e4 },
		"not a number":     func(s *Sums) { s.Refused = math.NaN() },
		"negative":         func(s *Sums) { s.Routes[0].SlotTime = -1 },
		"route twice":      func(s *Sums) { s.Routes[1].Key = 1 },
		"routes unsorted":  func(s *Sums) { s.Routes[0].Key = 3 },
		"too many routes":  func(s *Sums) { s.Routes = make([]RouteSums, maxRoutes+1) },
		"infinite request": func(s *Sums) { s.Routes[1].Requests = math.Inf(1) },
	} {
		t.Run(name, func(t *testing.T) {
			s := good
			s.Routes = slices.Clone(good.Routes)
			change(&s)
			if s.Valid() {
				t.Errorf("%+v is valid", s)
			}
		})
	}
}

// Guards against a wrong figure by which nothing starts any more.
func TestLevelIsBounded(t *testing.T) {
	is := is.New(t)
	is.Equal(NewCutoff(short(0, 1)).Level, maxLevel)
}

// Guards against a difference of sums that peers refuse as implausible.
func TestDifferenceOfSumsIsValid(t *testing.T) {
	is := is.New(t)
	s := Sums{Room: 1, Used: 1}.changed(Sums{Room: 1, Used: 0.2}, Sums{Room: 0.5, Used: 0.5})
	is.True(s.Valid())
}
