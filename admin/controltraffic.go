package admin

// ControlTraffic is the traffic of one kind of control messages since the start of
// the instance. The kinds are "exchange", "content", "notify", "settle", "trial",
// and "connections" for the bytes of the connections that carry them.
type ControlTraffic struct {
	Kind        string `json:"kind"`
	MessagesIn  uint64 `json:"messages_in"`
	MessagesOut uint64 `json:"messages_out"`
	BytesIn     uint64 `json:"bytes_in"`
	BytesOut    uint64 `json:"bytes_out"`
	// CPUMicros is the processor time, in microseconds. It is absent if unknown.
	CPUMicros *uint64 `json:"cpu_us,omitempty"`
}
