package standin

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Fault is how a Target misbehaves with one request.
type Fault string

// Faults of a Target. Except with FaultCrash, the request has run to its end.
const (
	FaultError          Fault = "error"    // the response has status 500
	FaultCrash          Fault = "crash"    // during the run, all connections are reset; new ones are refused for Downtime
	FaultTruncate       Fault = "truncate" // the connection is closed in the middle of the body
	FaultReset          Fault = "reset"    // the connection is reset in the middle of the body
	FaultUnexpectedData Fault = "surplus"  // a second response follows the response
	FaultLate           Fault = "late"     // the response is sent 50 ms late, also after a cancellation
	FaultReorder        Fault = "reorder"  // the response waits for the next other response, at most 1 s
	FaultStall          Fault = "stall"    // the second half of the body is not sent
	FaultDrop           Fault = "drop"     // the connection is closed without a response
)

// maxReorderWait limits the wait of FaultReorder when no other response is sent.
const maxReorderWait = time.Second

// respond writes the response body with the given fault.
func (t *Target) respond(w http.ResponseWriter, r *http.Request, fault Fault, body []byte) {
	switch fault {
	case FaultTruncate, FaultReset, FaultUnexpectedData, FaultDrop:
		t.breakConnection(w, fault, body)
		return
	case FaultError:
		w.WriteHeader(http.StatusInternalServerError)
	case FaultStall:
		_, _ = w.Write(body[:len(body)/2]) // the caller detects a short body
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case FaultLate:
		time.Sleep(50 * time.Millisecond)
	case FaultReorder:
		select {
		case <-t.nextResponse():
		case <-time.After(maxReorderWait):
		}
	}
	_, _ = w.Write(body) // the caller detects a short body
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.responded)
	t.responded = make(chan struct{})
}

func (t *Target) nextResponse() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.responded
}

// breakConnection takes over the connection and sends the malformed response of the
// fault.
func (t *Target) breakConnection(w http.ResponseWriter, fault Fault, body []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	head := []byte("HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	switch fault {
	case FaultTruncate, FaultReset:
		_, _ = conn.Write(append(head, body[:len(body)/2]...)) // the reader detects a short body
		if tcp, ok := conn.(*net.TCPConn); ok && fault == FaultReset {
			time.Sleep(time.Millisecond) // lets the data arrive: a reset discards what was not received
			_ = tcp.SetLinger(0)
		}
	case FaultUnexpectedData:
		foreign := []byte("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign")
		_, _ = conn.Write(bytes.Join([][]byte{head, body, foreign}, nil))
		time.Sleep(20 * time.Millisecond) // time for the client to reuse the connection
	}
}
