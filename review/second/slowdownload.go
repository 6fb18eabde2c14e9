package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["slow-download"] = slowDownload }

// slowDownload: clients read long answers slowly, well inside their deadlines, while their
// machine gets SIGTERM.
func slowDownload(r *run) (verdict, error) {
	const (
		size     = 540_000
		perTick  = 4000 // bytes in each tick, 40 kB a second
		tick     = 100 * time.Millisecond
		deadline = 15 * time.Second
		readers  = 8
		grace    = 6 * time.Second
	)
	r.bounds, r.memoryMb = customsBounds, "184"
	for n := range 4 {
		u, err := newUpstream(r, fmt.Sprintf("i-archive-%d", n), "archive", []string{"poa-a", "poa-b"}[n%2], 6, 200*time.Millisecond)
		if err != nil {
			return verdict{}, err
		}
		u.body = strings.Repeat("0123456789", size/10)
	}
	r.putConfig(3, []string{"archive"}, []route{{name: "r-doc", prefix: "/doc/", kind: "download", service: "archive", timeoutS: 15, targetS: 2, priority: 2, attempts: 2}})
	if err := r.startInstances(2); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	stopped := r.instances[0]
	var mu sync.Mutex
	whole, cut, refused := 0, 0, 0
	var all sync.WaitGroup
	for n := range readers {
		all.Go(func() {
			id := fmt.Sprintf("slow%d", n)
			got, status, err := readSlowly(stopped.at(stopped.ports.frontend), id, deadline, perTick, tick)
			r.rec.line("%s: status %d, %d of %d bytes, %v", id, status, got, size, err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && status == http.StatusOK && got == size:
				whole++
			case status == http.StatusOK:
				cut++
			default:
				refused++
			}
		})
	}
	time.Sleep(time.Second) // the upstreams have answered
	if r.trouble {
		stopped.signal(syscall.SIGTERM)
		timer := time.AfterFunc(grace, func() { stopped.signal(syscall.SIGKILL) })
		defer timer.Stop()
	}
	all.Wait()
	text := fmt.Sprintf("of %d answers that upstreams had given whole, clients got %d whole and %d cut off; %d were refused", readers-refused, whole, cut, refused)
	return verdict{broken: cut > 0, text: text}, nil
}

// readSlowly sends a request and reads the answer piece by piece.
func readSlowly(address, id string, deadline time.Duration, piece int, pause time.Duration) (got, status int, err error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	_ = conn.SetDeadline(time.Now().Add(deadline))
	if _, err := fmt.Fprintf(conn, "GET /doc/7 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", host, id, deadline.Milliseconds()); err != nil {
		return 0, 0, err
	}
	request, _ := http.NewRequest(http.MethodGet, "http://"+host+"/doc/7", nil)
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, 1024), request)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	buffer := make([]byte, piece)
	for {
		n, err := io.ReadFull(response.Body, buffer)
		got += n
		switch err {
		case nil:
		case io.EOF:
			return got, response.StatusCode, nil
		default:
			if err == io.ErrUnexpectedEOF && int64(got) == response.ContentLength {
				err = nil
			}
			return got, response.StatusCode, err
		}
		time.Sleep(pause)
	}
}
