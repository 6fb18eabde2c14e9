package once

import "time"

// mark is what is remembered of a ticket without a record.
type mark uint8

const (
	markUnused mark = iota
	markUsed        // started: it runs, ran or may have run
	markVoided      // never started and never will
	markNotRun      // started, and ended without being run
)

// Layout of a block.
const (
	blockSerials = 512 // a block takes 128 B of marks; smaller blocks add overhead, larger ones are kept longer
	markBits     = 2
	marksPerByte = 8 / markBits
)

// block holds the marks of consecutive serials. marks is nil while all are unused.
type block struct {
	expiry time.Duration // of the newest ticket in the block
	marks  *[blockSerials / marksPerByte]byte
}

// marks remembers the use of every serial that may still arrive. Expiries grow
// with the serials, so that whole blocks are forgotten, oldest first.
type marks struct {
	first  uint64 // number of the first block kept
	blocks []block
	next   uint64 // next serial to issue
}

// issue returns a new serial.
func (m *marks) issue(expiry time.Duration) uint64 {
	serial := m.next
	m.next++
	if serial/blockSerials == m.first+uint64(len(m.blocks)) {
		m.blocks = append(m.blocks, block{})
	}
	m.blocks[len(m.blocks)-1].expiry = expiry
	return serial
}

// get returns the mark of a serial. known is false when it was forgotten.
func (m *marks) get(serial uint64) (value mark, known bool) {
	if serial/blockSerials < m.first || serial >= m.next {
		return markUnused, false
	}
	b := m.blocks[serial/blockSerials-m.first]
	if b.marks == nil {
		return markUnused, true
	}
	at := serial % blockSerials
	return mark(b.marks[at/marksPerByte]>>(at%marksPerByte*markBits)) & (1<<markBits - 1), true
}

// put sets the mark of a serial. A forgotten serial stays forgotten.
func (m *marks) put(serial uint64, value mark) {
	if _, known := m.get(serial); !known {
		return
	}
	b := &m.blocks[serial/blockSerials-m.first]
	if b.marks == nil {
		b.marks = new([blockSerials / marksPerByte]byte)
	}
	at := serial % blockSerials
	shift := at % marksPerByte * markBits
	old := b.marks[at/marksPerByte] &^ ((1<<markBits - 1) << shift)
	b.marks[at/marksPerByte] = old | byte(value)<<shift
}

// prune forgets the complete blocks whose tickets all expired before a time.
func (m *marks) prune(before time.Duration) {
	for len(m.blocks) > 1 && m.blocks[0].expiry < before {
		m.blocks[0] = block{}
		m.blocks = m.blocks[1:]
		m.first++
	}
}
