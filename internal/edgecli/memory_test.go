package edgecli_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
	"github.com/dogwoodroute/dogwoodroute/node"
	"github.com/dogwoodroute/dogwoodroute/platform/platformtest"
)

const (
	// testTimeout ends a test that hangs; no test depends on its value.
	testTimeout = 2 * time.Minute
	// memoryLimit is the memory limit of the process, at which the platform would kill it.
	memoryLimit = 64 << 20
	host        = "h.example"
)

// process is a running instance with the store and the targets behind it.
type process struct {
	settings node.Settings
	command  *exec.Cmd
}

// startProcess builds the program and starts an instance with two services: the targets of
// "sound" answer each request, those of "endless" send a body without end.
func startProcess(t *testing.T) *process {
	t.Helper()
	directory := t.TempDir()
	program := filepath.Join(directory, "dogwoodroute-edge")
	if output, err := exec.Command("go", "build", "-o", program, "../../cmd/dogwoodroute-edge").CombinedOutput(); err != nil {
		t.Fatalf("build the program: %v\n%s", err, output)
	}
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	config := catalog.Config{Version: 1, Services: make(map[string]catalog.Service)}
	for _, service := range []string{"sound", "endless"} {
		config.Services[service] = catalog.Service{Name: service, HealthPath: "/health", MaxConnections: 1000}
		config.Routes = append(config.Routes, catalog.Route{Name: service, Host: host, Prefix: "/" + service + "/",
			Services: []catalog.WeightedService{{Service: service, Weight: 1}}, Timeout: testTimeout, Objective: testTimeout, MaxAttempts: 1})
		for n := range 4 {
			id := fmt.Sprint(service, n)
			server := httptest.NewServer(targetHandler(id, service == "endless"))
			t.Cleanup(server.Close)
			store.PutTarget(&catalog.Target{ID: id, Address: server.Listener.Addr().String(), Service: service, FailureDomain: "a",
				Slots: 64, StartUnixMS: 1, Sequence: 1})
		}
	}
	store.PutConfig(&config)
	p := &process{settings: node.Settings{ID: "i", FailureDomain: "a", FailureDomains: []string{"a"}, Region: "r", StoreAddress: store.Address(),
		MemoryBytes: memoryLimit, FirstStart: true,
		Addresses: node.Addresses{Callers: freeAddress(t), Resolve: freeAddress(t), Readiness: freeAddress(t), Peers: freeAddress(t)},
		Bounds:    node.Bounds{ShutdownTimeout: time.Second, ResolveValidity: time.Second, RetryRatio: 0.2, RetryWindow: time.Second}}}
	path := filepath.Join(directory, "settings")
	if err := os.WriteFile(path, platformtest.SettingsText(&p.settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p.command = exec.Command(program)
	p.command.Env = append(os.Environ(), platformtest.SettingsVariable+"="+path)
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
	})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for !platformtest.Ready(ctx, http.DefaultClient, p.settings.Addresses.Readiness) {
		if ctx.Err() != nil {
			t.Fatal("the instance did not become ready")
		}
		backoff.Sleep(ctx, 5*time.Millisecond)
	}
	return p
}

func targetHandler(id string, endless bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Instance-Id", id)
		if r.URL.Path == "/health" {
			w.Header().Set("X-Upstream-Load", "0,0,64,100")
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		w.Header().Set("X-Upstream-Signature", "s")
		for piece := make([]byte, 64<<10); endless; {
			if _, err := w.Write(piece); err != nil { // the instance has closed the connection
				return
			}
		}
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// send sends a request with a body of n bytes, in chunks, and returns the status of the
// response, 0 if there is none.
func (p *process) send(t *testing.T, path string, n int64) int {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	body := io.LimitReader(zeros{}, n)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.settings.Addresses.Callers+path, body)
	if err != nil {
		t.Error(err)
		return 0
	}
	request.Host = host
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// zeros is an endless source of zero bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// memory returns the anonymous memory of the process, in bytes.
func (p *process) memory(t *testing.T) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		t.Error(err)
		return 0
	}
	_, text, _ := strings.Cut(string(status), "RssAnon:")
	var kilobytes int64
	if _, err := fmt.Sscan(text, &kilobytes); err != nil {
		t.Error("the process has ended")
	}
	return kilobytes << 10
}

// Guards against long bodies of callers and responses without end that together bring a
// process over its memory limit, so that the platform kills it and the requests of all its
// callers are lost.
func TestProcessKeepsToItsMemoryLimit(t *testing.T) {
	const (
		senders     = 6
		longBodies  = 12 // of each sender
		endless     = 12
		ordinary    = 400
		longestBody = 14 << 20
	)
	is := is.New(t)
	p := startProcess(t)
	var peak int64
	ended := make(chan struct{})
	var watcher, callers sync.WaitGroup
	watcher.Go(func() {
		for {
			peak = max(peak, p.memory(t))
			select {
			case <-ended:
				return
			case <-time.After(time.Millisecond):
			}
		}
	})
	var served atomic.Int64
	for n := range senders {
		callers.Go(func() {
			for i := range longBodies {
				if p.send(t, "/sound/long", longestBody-int64(n+i)<<16) == http.StatusOK {
					served.Add(1)
				}
			}
		})
		callers.Go(func() {
			for range endless {
				if status := p.send(t, "/endless/x", 100); status == http.StatusOK {
					t.Error("a response without end is complete")
				}
			}
		})
	}
	callers.Go(func() {
		for range ordinary {
			if status := p.send(t, "/sound/x", 1000); status != http.StatusOK {
				t.Errorf("status %d for an ordinary request", status)
			}
		}
	})
	callers.Wait()
	close(ended)
	watcher.Wait()
	t.Logf("peak memory %d KiB, %d long bodies served", peak>>10, served.Load())
	is.True(served.Load() > 0)
	is.True(peak < memoryLimit)
}
