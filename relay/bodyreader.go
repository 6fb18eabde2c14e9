package relay

import "io"

// bodyReader reads a body of a known length from messages. The zero value is an empty body.
type bodyReader struct {
	receive func() ([]byte, error)
	left    int64 // bytes of the body that were not received
	part    []byte
	// end, if not nil, checks after the body that the sender has sent all.
	end func() error
}

// Read implements io.Reader. A body that ends early fails with io.ErrUnexpectedEOF.
func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.part) == 0 {
		if b.left <= 0 {
			return 0, b.finish()
		}
		part, err := b.receive()
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return 0, err
		}
		if int64(len(part)) > b.left {
			return 0, io.ErrUnexpectedEOF // the lengths contradict each other
		}
		b.part, b.left = part, b.left-int64(len(part))
	}
	n := copy(p, b.part)
	b.part = b.part[n:]
	return n, nil
}

// finish returns io.EOF if the body is complete.
func (b *bodyReader) finish() error {
	if b.end != nil {
		if err := b.end(); err != nil {
			return err
		}
		b.end = nil
	}
	return io.EOF
}
