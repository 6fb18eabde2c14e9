package gateway

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against memory that is counted twice or not given back, and against limits that
// are exceeded, in any order of reservations and releases.
func TestMemoryLimitCountsEachReservationOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newMemoryLimit(1<<20, nil)
		var holds []*memoryHold
		var bodies []*bodyMemory
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				holds = append(holds, &memoryHold{limit: l})
			case 1:
				if len(holds) > 0 {
					holds[rapid.IntRange(0, len(holds)-1).Draw(t, "released")].release()
				}
			case 2:
				if len(holds) > 0 {
					h := holds[rapid.IntRange(0, len(holds)-1).Draw(t, "hold")]
					newBody := rapid.SampledFrom([]func(string) *bodyMemory{h.newRequestBody, h.newResponseBody}).Draw(t, "kind")
					bodies = append(bodies, newBody(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "owner")))
				}
			case 3: // a part of a response is written
				if len(bodies) > 0 {
					l.giveBack(bodies[rapid.IntRange(0, len(bodies)-1).Draw(t, "written")], rapid.Int64Range(1, 100<<10).Draw(t, "part"))
				}
			case 4: // a response is about to be written
				if len(bodies) > 0 {
					kept := bodies[rapid.IntRange(0, len(bodies)-1).Draw(t, "kept")]
					kept.hold.keepOnly(kept)
				}
			default:
				if len(bodies) > 0 {
					b := bodies[rapid.IntRange(0, len(bodies)-1).Draw(t, "body")]
					n := rapid.Int64Range(1, 200<<10).Draw(t, "bytes")
					fits := b.bytes == 0 && !b.hold.released && !b.ended && b.fits(n)
					if got := b.reserve(n); fits && !got {
						t.Fatal("what fits was refused")
					}
				}
			}
			var used int64
			for _, h := range holds {
				used += h.bytes
			}
			if l.used != used || l.used > l.limit || float64(l.requests.bytes) > l.requests.limit || float64(l.responses.bytes) > l.responses.limit {
				t.Fatalf("%d bytes held, %d counted, %d and %d of them of long bodies", used, l.used, l.requests.bytes, l.responses.bytes)
			}
		}
		for _, h := range holds {
			h.release()
		}
		if l.used != 0 {
			t.Fatalf("%d bytes are left", l.used)
		}
		for _, group := range []*longBodies{&l.requests, &l.responses} {
			if group.bytes != 0 || len(group.owners) != 0 || len(group.bodies) != 0 {
				t.Fatalf("%d bytes of long bodies are left", group.bytes)
			}
		}
	})
}

// Guards against one caller or target that takes the memory of all others with several
// long bodies, and against the refusal of a single long one.
func TestOwnerHasAShareOfTheMemory(t *testing.T) {
	is := is.New(t)
	l := newMemoryLimit(1<<20, nil) // 665 KiB for long bodies
	h := &memoryHold{limit: l}
	oldest := h.newRequestBody("a")
	is.True(oldest.reserve(200 << 10))
	is.True(!h.newRequestBody("a").reserve(200 << 10))
	is.True(h.newRequestBody("b").reserve(200 << 10))
	is.True(!h.newRequestBody("c").reserve(150 << 10))     // over the part of all but the oldest
	is.True(h.newRequestBody("c").reserve(shortBodyBytes)) // short bodies have room of their own
	is.True(oldest.reserve(350 << 10))                     // the oldest may be completed
	is.True(!oldest.reserve(100 << 10))
	is.True(h.newResponseBody("t").reserve(150 << 10)) // responses have memory of their own
	is.True(!h.newResponseBody("u").reserve(200 << 10))
}

// Guards against long bodies that arrive together and of which none is completed, since
// each takes a part of the memory.
func TestOneOfSeveralLongBodiesIsCompleted(t *testing.T) {
	is := is.New(t)
	l := newMemoryLimit(1<<20, nil)
	const size, step = 550 << 10, 25 << 10
	completed := 0
	for range 4 {
		var holds []*memoryHold
		var bodies []*bodyMemory
		for range 4 {
			h := &memoryHold{limit: l}
			holds, bodies = append(holds, h), append(bodies, h.newRequestBody("a"))
		}
		for range size / step {
			for i, b := range bodies {
				if b != nil && !b.reserve(step) { // refused, and the caller's request ends
					holds[i].release()
					bodies[i] = nil
				}
			}
		}
		for i, b := range bodies {
			if b != nil {
				completed++
				holds[i].release()
			}
		}
	}
	is.Equal(completed, 4)
}

// Guards against memory for the response of another attempt whose head arrives when the caller's
// response is written already.
func TestOnlyTheKeptBodyHasMemory(t *testing.T) {
	is := is.New(t)
	h := &memoryHold{limit: newMemoryLimit(1<<20, nil)}
	kept, other := h.newResponseBody("t"), h.newResponseBody("u")
	is.True(kept.reserve(1000))
	is.True(other.reserve(1000))
	h.keepOnly(kept)
	is.True(!other.reserve(1000))
	is.True(!h.newResponseBody("v").reserve(1000))
	is.Equal(h.limit.used, int64(1000))
}
