package balancer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// decay approximates exp(-x) for x >= 0. It replaces math.Exp because Pick calls
// it for each target. Its error is below 0.02, far below that of the load it is
// applied to.
func decay(x float64) float64 { return 1 / (1 + x*(1+x*(0.5+x*(1.0/6+x/24)))) }

func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// rendezvousHash returns the score of a member for a key. The member with the
// highest score owns the key.
func rendezvousHash(member, key uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[0:], member)
	binary.LittleEndian.PutUint64(b[8:], key)
	return xxhash.Sum64(b[:])
}
