package e2e_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/internal/testbed"
)

// startTimeout ends a test that would otherwise hang.
const startTimeout = time.Minute

// Guards against programs that work only within one process: a request goes through
// two daemons that were started from settings files, and the response must be complete.
func TestRequestThroughProcesses(t *testing.T) {
	is := is.New(t)
	bin := build(t)
	target := httptest.NewServer(standin.NewTarget(standin.TargetOptions{Name: "t1"}))
	defer target.Close()
	configuration := httptest.NewServer(standin.NewValue(fmt.Appendf(nil, `{"version": 1,
		"routes": [{"name": "echo", "match": {"path_prefix": "/echo"}, "pool": "p", "idempotent": true}],
		"pools": [{"name": "p", "targets": [{"name": "t1", "address": %q, "failure_domain": "a", "slots": 4}]}]}`,
		target.Listener.Addr().String())))
	defer configuration.Close()
	defer configuration.CloseClientConnections() // ends pending watches, which Close waits for

	addresses := []string{freeAddress(t), freeAddress(t)}
	var entries []string
	for n, address := range addresses {
		entries = append(entries, fmt.Sprintf(`{"id": "i%d", "failure_domain": "a", "caller_address": %q, "peer_address": %q, "admin_address": %q}`,
			n, address, freeAddress(t), freeAddress(t)))
	}
	list := httptest.NewServer(standin.NewValue([]byte(`{"instances": [` + strings.Join(entries, ",") + `]}`)))
	defer list.Close()
	for n, entry := range entries {
		settings := strings.TrimSuffix(entry, "}") + fmt.Sprintf(`, "configuration_url": %q, "instances_url": %q}`, configuration.URL, list.URL)
		startDaemon(t, bin, n, settings)
	}

	response := send(t, bin, addresses, "/echo/x")
	is.True(strings.HasPrefix(response, "t1 ")) // the target's response
	is.True(strings.HasSuffix(response, "\nmarket"))
}

// build compiles the commands and returns their directory.
func build(t *testing.T) string {
	dir := t.TempDir()
	output, err := exec.Command("go", "build", "-o", dir+"/", "../../cmd/...").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return dir
}

// startDaemon starts daemon n with the given settings and kills it at the end of the test.
func startDaemon(t *testing.T, bin string, n int, settings string) {
	file := filepath.Join(t.TempDir(), fmt.Sprintf("i%d.json", n))
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.Command(filepath.Join(bin, "dogwoodrouted"), file)
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
}

// send sends a request with the dogwoodroute command, repeats it until it succeeds, as
// the daemons may still be starting, and returns the output.
func send(t *testing.T, bin string, addresses []string, path string) string {
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	for {
		command := exec.CommandContext(ctx, filepath.Join(bin, "dogwoodroute"), "send", "--method", http.MethodPost,
			"--data", "market", "--instance", strings.Join(addresses, ","), path)
		output, err := command.CombinedOutput()
		if err == nil {
			return string(output)
		}
		if ctx.Err() != nil {
			t.Fatalf("send: %v\n%s", err, output)
		}
	}
}

// freeAddress returns a free loopback address for a process that is started later.
func freeAddress(t *testing.T) string {
	address, err := testbed.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}
