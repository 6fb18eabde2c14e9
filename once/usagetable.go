package once

import "time"

// usage is what is remembered of a ticket without a record.
type usage uint8

const (
	usageUnused usage = iota
	usageUsed         // started: it runs, ran or may have run
	usageVoided       // never started and never will
	usageNotRun       // started, and ended without being run
)

// Layout of a block.
const (
	blockSerials = 512 // a block takes 128 B of marks; smaller blocks add overhead, larger ones are kept longer
	markBits     = 2
	marksPerByte = 8 / markBits
)

// usageBlock holds the marks of consecutive serials. marks is nil while all are unused.
type usageBlock struct {
	expiry time.Duration // of the newest ticket in the block
	packed *[blockSerials / marksPerByte]byte
}

// usageTable remembers the use of every serial that may still arrive. Expiries grow
// with the serials, so that whole blocks are forgotten, oldest first.
type usageTable struct {
	first  uint64 // number of the first block kept
	blocks []usageBlock
	next   uint64 // next serial to issue
}

// issue returns a new serial.
func (m *usageTable) issue(expiry time.Duration) uint64 {
	serial := m.next
	m.next++
	if serial/blockSerials == m.first+uint64(len(m.blocks)) {
		m.blocks = append(m.blocks, usageBlock{})
	}
	m.blocks[len(m.blocks)-1].expiry = expiry
	return serial
}

// get returns the mark of a serial. known is false when it was forgotten.
func (m *usageTable) get(serial uint64) (value usage, known bool) {
	if serial/blockSerials < m.first || serial >= m.next {
		return usageUnused, false
	}
	b := m.blocks[serial/blockSerials-m.first]
	if b.packed == nil {
		return usageUnused, true
	}
	at := serial % blockSerials
	return usage(b.packed[at/marksPerByte]>>(at%marksPerByte*markBits)) & (1<<markBits - 1), true
}

// put sets the mark of a serial. A forgotten serial stays forgotten.
func (m *usageTable) put(serial uint64, value usage) {
	if _, known := m.get(serial); !known {
		return
	}
	b := &m.blocks[serial/blockSerials-m.first]
	if b.packed == nil {
		b.packed = new([blockSerials / marksPerByte]byte)
	}
	at := serial % blockSerials
	shift := at % marksPerByte * markBits
	old := b.packed[at/marksPerByte] &^ ((1<<markBits - 1) << shift)
	b.packed[at/marksPerByte] = old | byte(value)<<shift
}

// prune forgets the complete blocks whose tickets all expired before a time.
func (m *usageTable) prune(before time.Duration) {
	for len(m.blocks) > 1 && m.blocks[0].expiry < before {
		m.blocks[0] = usageBlock{}
		m.blocks = m.blocks[1:]
		m.first++
	}
}
