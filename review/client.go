package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client sees of one request.
type answer struct {
	status    int
	signature string
	id        string
	body      string
	err       error
	took      time.Duration
	retryS    string
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer: %v", a.err)
	}
	return fmt.Sprintf("%d signature %q retry-after %q, %d bytes", a.status, a.signature, a.retryS, len(a.body))
}

// ask sends one request on a new connection and reads the answer.
func ask(address, method, host, path, id string, deadline time.Duration, body string) answer {
	started := time.Now()
	var a answer
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer c.Close()
	_ = c.SetDeadline(started.Add(deadline + time.Second))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if method != "GET" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err = io.WriteString(c, text+"\r\n"+body); err == nil {
		var r *http.Response
		if r, err = http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method}); err == nil {
			a.status, a.signature, a.id, a.retryS = r.StatusCode, r.Header.Get("X-Upstream-Signature"), r.Header.Get("X-Request-Id"), r.Header.Get("Retry-After")
			var data []byte
			data, err = io.ReadAll(r.Body)
			a.body = string(data)
		}
	}
	a.err, a.took = err, time.Since(started)
	return a
}
