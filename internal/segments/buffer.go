package segments

import (
	"io"

	"github.com/go-faster/errors"
)

// Sizes of segments. The first one is short, since most bodies are, and a slow sender must
// not take memory for what it has only announced; later ones double up to the largest.
const (
	minSegment = 4 << 10
	maxSegment = 64 << 10
)

// Errors of Fill.
var (
	// ErrTooLong is returned for a body that is longer than the limit.
	ErrTooLong = errors.New("body exceeds the size limit")
	// ErrNoMemory is returned when the memory for the next segment is refused.
	ErrNoMemory = errors.New("no memory for the rest of the body")
)

// Buffer is a body. The zero value is empty. It is not safe for concurrent use while Fill
// runs.
type Buffer struct {
	list   [][]byte
	length int64
}

// Len returns the length of the body in bytes. That of a nil buffer is 0.
func (b *Buffer) Len() int64 {
	if b == nil {
		return 0
	}
	return b.length
}

// Segments returns the content, none for a nil buffer. It must not be modified.
func (b *Buffer) Segments() [][]byte {
	if b == nil {
		return nil
	}
	return b.list
}

// Fill reads a body of at most limit bytes until the end of the source. length is the
// announced length, not positive if it is unknown; no room is left over if it is right. reserve is called with the size of each
// segment before it is allocated; if it returns false, Fill ends with ErrNoMemory. Other
// errors are ErrTooLong and those of the source.
func (b *Buffer) Fill(source io.Reader, length, limit int64, reserve func(n int64) bool) error {
	for size := int64(minSegment); ; size = min(2*size, maxSegment) {
		err := b.fillLast(source, limit)
		var extra [1]byte // in most cases there is no byte after the first segment
		if err == nil {
			_, err = io.ReadFull(source, extra[:])
		}
		segment := size
		if left := length - b.length; left > 0 {
			segment = min(size, left)
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case b.length >= limit:
			return ErrTooLong
		case !reserve(segment):
			return ErrNoMemory
		}
		b.list = append(b.list, append(make([]byte, 0, segment), extra[0]))
		b.length++
	}
}

// fillLast reads until the last segment is full. It returns the error of the source, or
// ErrTooLong.
func (b *Buffer) fillLast(source io.Reader, limit int64) error {
	if len(b.list) == 0 {
		return nil
	}
	last := &b.list[len(b.list)-1]
	for len(*last) < cap(*last) {
		n, err := source.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		b.length += int64(n)
		switch {
		case b.length > limit:
			return ErrTooLong
		case err != nil:
			return err
		}
	}
	return nil
}

// WriteTo implements io.WriterTo.
func (b *Buffer) WriteTo(w io.Writer) (written int64, err error) {
	for _, segment := range b.Segments() {
		n, err := w.Write(segment)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Drain passes the content to write in pieces of at most piece bytes, and frees each segment
// once it is written: freed is called with its size. The buffer is empty afterwards, also after
// an error of write, which Drain returns.
func (b *Buffer) Drain(piece int, write func([]byte) error, freed func(n int64)) error {
	if b == nil {
		return nil
	}
	list := b.list
	b.list, b.length = nil, 0
	for i := range list {
		segment := list[i]
		list[i] = nil // for the garbage collector
		for rest := segment; len(rest) > 0; {
			n := min(piece, len(rest))
			if err := write(rest[:n]); err != nil {
				return err
			}
			rest = rest[n:]
		}
		freed(int64(cap(segment)))
	}
	return nil
}
