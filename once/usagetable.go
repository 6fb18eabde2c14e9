package once

import "time"

// usage is the state that is kept for each issued ticket.
type usage uint8

const (
	usageUnused usage = iota
	usageUsed         // started: it is running, has run or may have run
	usageVoided       // has never started and never will
	usageNotRun       // started, but ended without being run
)

// Layout of a usageBlock.
const (
	blockSerials  = 512 // 128 B per block; smaller blocks have more overhead, larger ones are kept longer
	usageBits     = 2
	usagesPerByte = 8 / usageBits
)

// usageBlock holds the usage of consecutive serials. packed is nil while all of
// them are unused.
type usageBlock struct {
	expiry time.Duration // of the newest ticket in the block
	packed *[blockSerials / usagesPerByte]byte
}

// usageTable keeps the usage of all serials whose tickets may still arrive.
// Expiry times increase with the serials, so that whole blocks can be removed,
// oldest first.
type usageTable struct {
	first  uint64 // number of the first block in blocks
	blocks []usageBlock
	next   uint64 // next serial to issue
}

// issue returns the serial of a new ticket with an expiry time.
func (t *usageTable) issue(expiry time.Duration) uint64 {
	serial := t.next
	t.next++
	if serial/blockSerials == t.first+uint64(len(t.blocks)) {
		t.blocks = append(t.blocks, usageBlock{})
	}
	t.blocks[len(t.blocks)-1].expiry = expiry
	return serial
}

// get returns the usage of a serial. known is false if its block was removed or
// the serial was never issued.
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

// put sets the usage of a serial. It ignores serials for which get returns false.
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

// prune removes the oldest blocks whose tickets all expired before a time. It
// keeps the last block, to which new serials are added.
func (t *usageTable) prune(before time.Duration) {
	for len(t.blocks) > 1 && t.blocks[0].expiry < before {
		t.blocks[0] = usageBlock{}
		t.blocks = t.blocks[1:]
		t.first++
	}
}
