package callerconn

import "sync/atomic"

// freeHeaderBytes is the part of each header that does not count. Hardly any is longer, so
// that only callers with long headers lose their connections when the memory is used up.
const freeHeaderBytes = 4 << 10

// headerMemory bounds the memory for headers of which only a part has been received, over
// all connections of a server.
type headerMemory struct {
	limit atomic.Int64 // 0: none
	used  atomic.Int64
}

// add counts n more bytes of a header of which received bytes are counted. It reports false,
// and counts nothing, if the limit is exceeded.
func (m *headerMemory) add(received, n int64) bool {
	excess := excessOf(received+n) - excessOf(received)
	if limit := m.limit.Load(); m.used.Add(excess) > limit && limit > 0 && excess > 0 {
		m.used.Add(-excess)
		return false
	}
	return true
}

// release gives the memory of a header back of which received bytes are counted.
func (m *headerMemory) release(received int64) { m.used.Add(-excessOf(received)) }

func excessOf(received int64) int64 { return max(0, received-freeHeaderBytes) }
