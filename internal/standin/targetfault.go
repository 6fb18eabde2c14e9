package standin

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Fault is what a Target does wrong with one request.
type Fault string

// Faults. Unless stated otherwise the request is run before.
const (
	FaultError          Fault = "error"    // answer 500
	FaultCrash          Fault = "crash"    // all connections are reset, new ones refused for a while
	FaultTruncate       Fault = "truncate" // the connection is closed in the middle of the body
	FaultReset          Fault = "reset"    // the connection is reset in the middle of the body
	FaultUnexpectedData Fault = "surplus"  // bytes follow the answer
	FaultLate           Fault = "late"     // the answer comes 50 ms late, also after a cancellation
	FaultReorder        Fault = "reorder"  // the answer waits for one that started later, at most 1 s
	FaultStall          Fault = "stall"    // the second half of the body never comes
	FaultDrop           Fault = "drop"     // the connection is closed without an answer
)

// maxReorderWait bounds FaultReorder when no other request comes.
const maxReorderWait = time.Second

// answer writes the body with the fault.
func (t *Target) answer(w http.ResponseWriter, r *http.Request, fault Fault, body []byte) {
	switch fault {
	case FaultTruncate, FaultReset, FaultUnexpectedData, FaultDrop:
		t.breakConnection(w, fault, body)
		return
	case FaultError:
		w.WriteHeader(http.StatusInternalServerError)
	case FaultStall:
		_, _ = w.Write(body[:len(body)/2]) // the caller sees a short body
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case FaultLate:
		time.Sleep(50 * time.Millisecond)
	case FaultReorder:
		select {
		case <-t.nextAnswer():
		case <-time.After(maxReorderWait):
		}
	}
	_, _ = w.Write(body) // the caller sees a short body
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.overtake)
	t.overtake = make(chan struct{})
}

func (t *Target) nextAnswer() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.overtake
}

// breakConnection takes the connection over and misuses it.
func (t *Target) breakConnection(w http.ResponseWriter, fault Fault, body []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	text := []byte("HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	switch fault {
	case FaultTruncate, FaultReset:
		_, _ = conn.Write(append(text, body[:len(body)/2]...)) // the reader sees a short body
		if tcp, ok := conn.(*net.TCPConn); ok && fault == FaultReset {
			time.Sleep(time.Millisecond) // a reset drops what the reader has not received
			_ = tcp.SetLinger(0)
		}
	case FaultUnexpectedData:
		foreign := []byte("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign")
		_, _ = conn.Write(bytes.Join([][]byte{text, body, foreign}, nil))
		time.Sleep(20 * time.Millisecond) // leaves time to reuse the connection
	}
}
