package admin

// ControlTraffic is the traffic of one kind of message since the start, such as
// "exchange", "content", "notify", "settle", "trial", "probe",
// "configuration" or "instances".
type ControlTraffic struct {
	Kind        string `json:"kind"`
	MessagesIn  uint64 `json:"messages_in"`
	MessagesOut uint64 `json:"messages_out"`
	BytesIn     uint64 `json:"bytes_in"`
	BytesOut    uint64 `json:"bytes_out"`
	// CPUMicros is the processor time, in microseconds; absent when unknown.
	CPUMicros *uint64 `json:"cpu_us,omitempty"`
}
