package poison

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/dogwoodroute/dogwoodroute/balancer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newDetector(seed uint64, o Options) *Detector {
	return NewDetector(o, rand.New(rand.NewPCG(seed, 0)))
}

func startAttempt(d *Detector, id uint64, f Fingerprint, target string) Attempt {
	a := Attempt{ID: id, Fingerprint: f, Target: target}
	d.Started(0, a)
	return a
}

func restrictionOf(d *Detector, now time.Duration, f Fingerprint) Restriction {
	s, _ := d.Admit(now, f)
	return s
}

// Guards against equal fingerprints of different requests, which would result if
// route, method, URI and body were hashed without separation.
func TestFingerprintSeparatesParts(t *testing.T) {
	is := is.New(t)
	sum := func(route, method, uri, body string) Fingerprint {
		h := NewHasher(route, method, uri)
		for i := range body {
			_, _ = h.Write([]byte(body[i : i+1]))
		}
		return h.Sum()
	}
	is.Equal(sum("r", "POST", "/a", "xy"), sum("r", "POST", "/a", "xy"))
	is.True(sum("r", "POST", "/a", "xy") != sum("r", "POST", "/ax", "y"))
	is.True(sum("rP", "OST", "/a", "xy") != sum("r", "POST", "/a", "xy"))
	read, err := ParseFingerprint(sum("r", "POST", "/a", "").String())
	is.NoErr(err)
	is.Equal(read, sum("r", "POST", "/a", ""))
}

// Guards against a crash that is not recognised after a second broken or a refused
// connection, and against a single broken connection that makes suspects of the
// other requests at the target.
func TestCrashIsRecognised(t *testing.T) {
	is := is.New(t)
	a, b, c := Fingerprint{1}, Fingerprint{2}, Fingerprint{3}
	for _, last := range []balancer.Outcome{balancer.OutcomeTruncated, balancer.OutcomeNotSent, balancer.OutcomeShed} {
		d := newDetector(1, Options{})
		x, y := startAttempt(d, 1, a, "t"), startAttempt(d, 2, b, "t")
		startAttempt(d, 3, c, "t")
		is.Equal(len(d.Ended(0, x, balancer.OutcomeBroken)), 1)
		is.Equal(restrictionOf(d, 0, a), TrialOnly)
		is.Equal(restrictionOf(d, 0, b), Unrestricted)
		d.Ended(time.Millisecond, y, last)
		is.Equal(restrictionOf(d, time.Millisecond, c) == TrialOnly, last != balancer.OutcomeShed)
	}
}

// Guards against a block after crashes of only one target, and against a block
// that does not end when the request completes.
func TestAttributedCrashesBlockAndCompletionClears(t *testing.T) {
	is := is.New(t)
	d, f := newDetector(1, Options{}), Fingerprint{1}
	x, y, z, other := startAttempt(d, 1, f, "t"), startAttempt(d, 2, f, "u"), startAttempt(d, 3, f, "v"), startAttempt(d, 4, f, "t")
	d.Ended(0, x, balancer.OutcomeBroken)
	d.Ended(0, other, balancer.OutcomeBroken) // another break of the same target is not a second attributed crash
	is.Equal(restrictionOf(d, 0, f), TrialOnly)
	is.Equal(restrictionOf(d, time.Minute, f), Unrestricted) // the suspicion has expired, the attributed crash still counts
	d.Ended(2*time.Minute, y, balancer.OutcomeTruncated)
	s, until := d.Admit(2*time.Minute, f)
	is.Equal(s, Blocked)
	is.Equal(until, 10*time.Minute) // then the first attributed crash no longer counts
	d.Ended(2*time.Minute, z, balancer.OutcomeError)
	is.Equal(restrictionOf(d, 2*time.Minute, f), Unrestricted)
}

// Guards against a blocked request that is unrestricted as soon as its block
// expires, instead of running only as a trial at first.
func TestBlockEndsInTrials(t *testing.T) {
	is := is.New(t)
	d, f := newDetector(1, Options{}), Fingerprint{1}
	a := Attempt{ID: 1, Fingerprint: f, Target: "t", Trial: true}
	d.Started(0, a)
	d.Ended(0, a, balancer.OutcomeBroken)
	is.Equal(restrictionOf(d, 10*time.Minute-1, f), Blocked)
	is.Equal(restrictionOf(d, 10*time.Minute, f), TrialOnly)
	is.Equal(restrictionOf(d, 20*time.Minute, f), Unrestricted)
	d.Tick(20 * time.Minute)
	is.Equal(d.RecordCount(), 0)
}

// Guards against a table that exceeds its bound, and against the eviction of
// blocks before suspicions.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	d := newDetector(1, Options{MaxRecords: 32})
	d.Merge(0, Notice{Fingerprint: Fingerprint{1}, ID: 1, State: StateBlocked, Expires: time.Hour})
	for i := range 100 {
		d.Merge(0, Notice{Fingerprint: Fingerprint{2, byte(i)}, ID: 1, State: StateSuspect, Expires: time.Hour})
		d.Merge(0, Notice{Fingerprint: Fingerprint{3}, ID: uint64(i), State: StateSuspect, Expires: time.Hour})
		is.True(d.RecordCount() <= 32)
	}
	is.Equal(restrictionOf(d, 0, Fingerprint{1}), Blocked)
	_, until := d.Admit(0, Fingerprint{1})
	is.Equal(until, 10*time.Minute) // a notice cannot extend the block beyond BlockTime
	is.Equal(len(d.Notices(0)), d.RecordCount())
}

// Guards against records that a peer which missed their broadcast never receives, since
// one message holds only a few and always the same ones.
func TestAllNoticesAreSentAfterAWhile(t *testing.T) {
	is := is.New(t)
	a, b := newDetector(1, Options{}), newDetector(2, Options{})
	for i := range byte(40) {
		a.Merge(0, Notice{Fingerprint: Fingerprint{i}, ID: 1, State: StateBlocked, Expires: time.Hour})
	}
	for range 200 {
		notices := a.SomeNotices(0, 4)
		is.Equal(len(notices), 4)
		b.Merge(0, notices...)
	}
	is.Equal(b.RecordCount(), a.RecordCount())
}

// Guards against instances that come to different restrictions because notices
// reached them in a different order, repeatedly, or only in a later exchange.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		notices := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) Notice {
			id := rapid.Uint64Range(1, 6).Draw(rt, "id") // the crashed target of a record never changes
			return Notice{Fingerprint: Fingerprint{rapid.Byte().Draw(rt, "f") % 3}, ID: id,
				State: State(rapid.IntRange(0, 4).Draw(rt, "state")), CrashedTarget: id % 3,
				Expires: time.Duration(rapid.IntRange(-300, 700).Draw(rt, "s")) * time.Second}
		}), 0, 12).Draw(rt, "notices")
		a, b, c := newDetector(1, Options{}), newDetector(2, Options{}), newDetector(3, Options{})
		a.Merge(0, notices...)
		b.Merge(0, rapid.Permutation(notices).Draw(rt, "other order")...)
		half := rapid.IntRange(0, len(notices)).Draw(rt, "lost from")
		c.Merge(0, notices[:half]...)
		c.Merge(0, a.Notices(0)...)
		b.Merge(0, notices...)
		for now := time.Duration(0); now < 30*time.Minute; now += 20 * time.Second {
			for f := range byte(3) {
				s, until := a.Admit(now, Fingerprint{f})
				for _, other := range []*Detector{b, c} {
					if s2, until2 := other.Admit(now, Fingerprint{f}); s2 != s || until2 != until {
						rt.Fatalf("at %v: restriction %v until %v, but %v until %v at another instance", now, s, until, s2, until2)
					}
				}
			}
		}
	})
}

// Guards against two concurrent trials of one fingerprint after a change of its
// coordinator, when the lease of the former one has not expired.
func TestCoordinatorHandsOverAfterLease(t *testing.T) {
	is := is.New(t)
	members := []string{"a", "b", "c"}
	key := Fingerprint{7}
	former := CoordinatorOf(key, members)
	var remaining []string
	for _, m := range members {
		if m != former {
			remaining = append(remaining, m)
		}
	}
	next := NewCoordinator(Options{})
	next.SetMembers(0, CoordinatorOf(key, remaining), members)
	is.True(!next.Grant(time.Hour, key, "x")) // not the coordinator
	next.SetMembers(time.Hour, CoordinatorOf(key, remaining), remaining)
	is.True(!next.Grant(time.Hour+35*time.Second-1, key, "x"))
	is.True(next.Grant(time.Hour+35*time.Second, key, "x"))
	is.True(!next.Grant(time.Hour+35*time.Second, key, "x"))
	next.Release(key, "y", VerdictNone) // not the holder
	is.True(!next.Grant(time.Hour+64*time.Second, key, "y"))
	is.True(next.Grant(time.Hour+65*time.Second, key, "y")) // the lease expired
	next.Release(key, "y", VerdictNone)
	is.True(next.Grant(time.Hour+65*time.Second, key, "x"))
}
