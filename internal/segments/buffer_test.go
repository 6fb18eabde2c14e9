package segments_test

import (
	"bytes"
	"io"
	"math"
	"testing"
	"testing/iotest"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dogwoodroute/dogwoodroute/internal/segments"
)

// Guards against bodies that are changed on the way through a buffer, whatever the sizes
// of the reads and the announced length, and against memory that was not reserved.
func TestBufferKeepsTheBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := make([]byte, rapid.IntRange(0, 300<<10).Draw(t, "size"))
		for i := range body {
			body[i] = byte(i * 7 >> 3)
		}
		length := rapid.SampledFrom([]int64{-1, 0, int64(len(body))}).Draw(t, "length")
		source := rapid.SampledFrom([]func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.HalfReader,
			iotest.DataErrReader}).Draw(t, "source")
		var b segments.Buffer
		var reserved int64
		err := b.Fill(source(bytes.NewReader(body)), length, math.MaxInt64, func(n int64) bool { reserved += n; return true })
		if err != nil {
			t.Fatal(err)
		}
		var got bytes.Buffer
		if _, err := b.WriteTo(&got); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got.Bytes(), body) || b.Len() != int64(len(body)) {
			t.Fatalf("%d bytes became %d, length %d", len(body), got.Len(), b.Len())
		}
		var room int64
		for _, segment := range b.Segments() {
			room += int64(cap(segment))
		}
		if room != reserved {
			t.Fatalf("room for %d bytes, %d reserved", room, reserved)
		}
		if length > 0 && room != length || room > 2*int64(len(body))+4<<10 {
			t.Fatalf("room for %d bytes for a body of %d", room, len(body))
		}
	})
}

// Guards against a body over the limit that is taken, or one at the limit that is not.
func TestBufferLimit(t *testing.T) {
	is := is.New(t)
	grant := func(int64) bool { return true }
	for _, size := range []int{1, 100, 4096, 64 << 10, 100 << 10} {
		for _, length := range []int64{-1, int64(size)} {
			body := make([]byte, size)
			is.NoErr(new(segments.Buffer).Fill(bytes.NewReader(body), length, int64(size), grant))
			err := new(segments.Buffer).Fill(bytes.NewReader(body), length, int64(size)-1, grant)
			is.True(errors.Is(err, segments.ErrTooLong))
		}
	}
}

// Guards against a body that is read although its memory was refused, and against the
// loss of an error of the source.
func TestBufferErrors(t *testing.T) {
	is := is.New(t)
	left := int64(100 << 10)
	var b segments.Buffer
	err := b.Fill(bytes.NewReader(make([]byte, 1<<20)), -1, math.MaxInt64, func(n int64) bool { left -= n; return left >= 0 })
	is.True(errors.Is(err, segments.ErrNoMemory))
	is.True(b.Len() <= 100<<10)
	err = new(segments.Buffer).Fill(iotest.TimeoutReader(iotest.OneByteReader(bytes.NewReader(make([]byte, 9)))), 9, 9, func(int64) bool { return true })
	is.True(errors.Is(err, iotest.ErrTimeout))
	err = new(segments.Buffer).Fill(iotest.ErrReader(io.ErrUnexpectedEOF), -1, 9, func(int64) bool { return true })
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}
