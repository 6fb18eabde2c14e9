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
	blockSerials  = 512 // a block takes 128 B of marks; smaller blocks add overhead, larger ones are kept longer
	usageBits     = 2
	usagesPerByte = 8 / usageBits
)

// usageBlock holds the marks of consecutive serials. marks is nil while all are unused.
type usageBlock struct {
	expiry time.Duration // of the newest ticket in the block
	packed *[blockSerials / usagesPerByte]byte
}

// usageTable remembers the use of every serial that may still arrive. Expiries grow
// with the serials, so that whole blocks are forgotten, oldest first.
type usageTable struct {
	first  uint64 // number of the first block kept
	blocks []usageBlock
	next   uint64 // next serial to issue
}

// issue returns a new serial.
func (t *usageTable) issue(expiry time.Duration) uint64 {
	serial := t.next
	t.next++
	if serial/blockSerials == t.first+uint64(len(t.blocks)) {
		t.blocks = append(t.blocks, usageBlock{})
	}
	t.blocks[len(t.blocks)-1].expiry = expiry
	return serial
}

// get returns the mark of a serial. known is false when it was forgotten.
func (t *usageTable) get(serial uint64) (value usage, known bool) {
	if serial/blockSerials < t.first || serial >= t.next {
		return usageUnused, false
	}
	b := t.blocks[serial/blockSerials-t.first]
	if b.packed == nil {
		return usageUnused, true
	}
	index := serial % blockSerials
	return usage(b.packed[index/usagesPerByte]>>(index%usagesPerByte*usageBits)) & (1<<usageBits - 1), true
}

// put sets the mark of a serial. A forgotten serial stays forgotten.
func (t *usageTable) put(serial uint64, value usage) {
	if _, known := t.get(serial); !known {
		return
	}
	b := &t.blocks[serial/blockSerials-t.first]
	if b.packed == nil {
		b.packed = new([blockSerials / usagesPerByte]byte)
	}
	index := serial % blockSerials
	shift := index % usagesPerByte * usageBits
	old := b.packed[index/usagesPerByte] &^ ((1<<usageBits - 1) << shift)
	b.packed[index/usagesPerByte] = old | byte(value)<<shift
}

// prune forgets the complete blocks whose tickets all expired before a time.
func (t *usageTable) prune(before time.Duration) {
	for len(t.blocks) > 1 && t.blocks[0].expiry < before {
		t.blocks[0] = usageBlock{}
		t.blocks = t.blocks[1:]
		t.first++
	}
}
