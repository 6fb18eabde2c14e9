package shortage

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// short returns sums of three routes with the same demand, of which this part starts, for
// targets that are this full.
func short(started, fullness float64) Sums {
	s := Request(1, 0, time.Second).Plus(Request(2, 1, time.Second)).Plus(Request(3, 1, 2*time.Second))
	s.Started, s.Refused, s.Room, s.Used = started*s.SlotTime(), (1-started)*s.SlotTime(), 100, 100*fullness
	return s
}

// Guards against room that goes to a less urgent or a costlier route first, and against a
// route that gets none.
func TestRoomGoesByRankThenSlotTime(t *testing.T) {
	is := is.New(t)
	c := NewCutoff(short(0.5, 1))
	is.Equal(c.Level, 0.5)
	is.Equal(c.Share(1), 1.0)
	is.True(c.Share(2) < 1 && c.Share(2) > c.Share(3))
	is.True(c.Share(3) >= minShare*(1-c.Level))
	is.Equal(c.Share(9), 1.0) // a route without demand so far
	admitted := c.Share(1) + c.Share(2) + 2*c.Share(3)
	is.True(admitted > 1.99 && admitted < 2.01) // half of 1 + 1 + 2
	rank, ok := c.Rank()
	is.True(ok && rank == 1)
}

// Guards against requests that are turned away while there is room, or where nothing
// distinguishes the routes.
func TestNothingIsTurnedAwayWithoutShortage(t *testing.T) {
	is := is.New(t)
	is.Equal(NewCutoff(Sums{}).Level, 0.0)
	is.Equal(NewCutoff(short(0.5, shortFullness)).Level, 0.0) // refused for another reason than full targets
	is.Equal(NewCutoff(short(1, 1)).Level, 0.0)               // all find room
	noReports := short(0.5, 1)
	noReports.Room, noReports.Used = 1, 1
	is.Equal(NewCutoff(noReports).Level, 0.0)
	single := Request(1, 1, time.Second).Plus(Request(2, 1, time.Second))
	single.Refused, single.Room, single.Used = 1, 100, 100
	is.Equal(NewCutoff(single).Level, 0.0)
}

// Guards against figures that outlive what they say, and against one wrong figure that
// moves more than the instances that it reaches.
func TestSumsFadeAndAverage(t *testing.T) {
	is := is.New(t)
	var a, b Ledger
	a.Add(0, "s", short(0.2, 1))
	b.Add(0, "s", short(1, 0.5))
	sent := a.ToSend(0)
	is.Equal(len(sent), 1)
	is.Equal(len(b.ToSend(0)), 0) // has room
	b.Average(0, sent)
	a.Add(0, "s", Sums{Started: 1}) // seen during the exchange
	a.Adopt(0, sent, b.Answer(0, sent, false))
	is.Equal(b.Sums(0, "s").fullness(), 0.75)
	is.Equal(a.Sums(0, "s").Started, b.Sums(0, "s").Started+1)
	is.Equal(NewCutoff(b.Sums(0, "s")).Level, 0.0)
	is.True(a.Sums(10*SumsHalfLife, "s").Room < 0.2) // too few reports to decide on
	is.Equal(len(a.Answer(forgetAfter, sent, true)), 0)
	is.Equal(len(a.Entries()), 0)
}
