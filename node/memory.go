package node

// Shares of the memory limit of the process. What is left is for the records of the store,
// the state of the fleet and of targets, idle connections and garbage.
const (
	// exchangeMemoryShare is the share that requests in progress may hold.
	exchangeMemoryShare = 0.46
	// headerMemoryShare is the share that headers of which only a part has been received
	// may hold at each of the servers, without the first 4 KiB of each.
	headerMemoryShare = 0.02
	// runtimeMemoryShare is the share up to which the Go runtime may use memory before it
	// collects garbage in any case. The rest is for memory that the runtime does not
	// manage, and for what is allocated while a collection runs.
	runtimeMemoryShare = 0.8
	// sendBufferShare is the share that the send buffer of one caller's connection may hold, and
	// minSendBuffer and maxSendBuffer bound its size in bytes: with less an ordinary caller
	// waits for round trips, and with more a slow one is seen late.
	sendBufferShare = 1.0 / 4096
	minSendBuffer   = 32 << 10
	maxSendBuffer   = 256 << 10
)

// sendBufferBytes returns the size of the send buffer of a caller's connection.
func (s *Settings) sendBufferBytes() int64 {
	return min(maxSendBuffer, max(minSendBuffer, int64(sendBufferShare*float64(s.MemoryBytes))))
}

// exchangeBytes returns the memory for requests in progress.
func (s *Settings) exchangeBytes() int64 { return int64(exchangeMemoryShare * float64(s.MemoryBytes)) }

// headerBytes returns the memory for unfinished headers.
func (s *Settings) headerBytes() int64 { return int64(headerMemoryShare * float64(s.MemoryBytes)) }

// RuntimeBytes returns the memory limit for the Go runtime, for debug.SetMemoryLimit.
func (s *Settings) RuntimeBytes() int64 { return int64(runtimeMemoryShare * float64(s.MemoryBytes)) }
