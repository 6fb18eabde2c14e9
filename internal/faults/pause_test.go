package faults_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/configservice"
	"github.com/dogwoodroute/dogwoodroute/internal/checker"
	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/internal/testbed"
	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/settings"
)

// processes is a fleet of daemon processes with two targets in this process.
type processes struct {
	w             *scenario // collects evidence; has no fleet
	configuration *standin.Value
	targets       []*standin.Target
	list          configservice.List
	daemons       []*exec.Cmd
}

// tablesText returns a configuration in which the first target has the given state.
func (p *processes) tablesText(version int, state string) []byte {
	return fmt.Appendf(nil, `{"version": %d, "routes": [
		{"name": "lookup", "match": {"path_prefix": "/lookup"}, "pool": "p", "idempotent": true, "deadline_ms": 60000},
		{"name": "record", "match": {"path_prefix": "/record"}, "pool": "p", "deadline_ms": 60000}],
		"pools": [{"name": "p", "targets": [
		{"name": "t0", "address": %q, "failure_domain": "a", "slots": 64, "state": %q},
		{"name": "t1", "address": %q, "failure_domain": "a", "slots": 64}]}]}`,
		version, p.targets[0].Address(), state, p.targets[1].Address())
}

// startProcesses builds the daemon and starts count processes of it.
func startProcesses(t *testing.T, count int) *processes {
	is := is.New(t)
	p := &processes{w: &scenario{t: t}}
	for n := range 2 {
		target, err := standin.StartTarget(standin.TargetOptions{Name: fmt.Sprintf("t%d", n), Slots: 64})
		is.NoErr(err)
		t.Cleanup(target.Close)
		p.targets = append(p.targets, target)
	}
	p.configuration = standin.NewValue(p.tablesText(1, "serving"))
	for n := range count {
		p.list.Instances = append(p.list.Instances, configservice.Instance{ID: fmt.Sprintf("i%d", n), FailureDomain: "a",
			CallerAddress: freeAddress(t), PeerAddress: freeAddress(t), AdminAddress: freeAddress(t)})
	}
	list, err := json.Marshal(&p.list)
	is.NoErr(err)
	bin := filepath.Join(t.TempDir(), "dogwoodrouted")
	output, err := exec.Command("go", "build", "-o", bin, "../../cmd/dogwoodrouted").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	urls := []string{serveValue(t, p.configuration), serveValue(t, standin.NewValue(list))}
	for _, entry := range p.list.Instances {
		p.startDaemon(bin, &settings.Settings{ID: entry.ID, FailureDomain: entry.FailureDomain, LogLevel: "error",
			CallerAddress: entry.CallerAddress, PeerAddress: entry.PeerAddress, AdminAddress: entry.AdminAddress,
			ConfigurationURL: urls[0], InstancesURL: urls[1]})
	}
	return p
}

// serveValue serves a value until the end of the test and returns its URL.
func serveValue(t *testing.T, value *standin.Value) string {
	server := httptest.NewServer(value)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections) // runs before Close and ends pending watches
	return server.URL
}

func (p *processes) startDaemon(bin string, s *settings.Settings) {
	t := p.w.t
	s.Limits.SetDefaults()
	s.ResolveValidityMillis, s.ShutdownLimitMillis = 300, 60000
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), s.ID+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	daemon := exec.Command(bin, file)
	daemon.Stderr = os.Stderr
	if err := daemon.Start(); err != nil {
		t.Fatal(err)
	}
	p.daemons = append(p.daemons, daemon)
	t.Cleanup(func() {
		_ = daemon.Process.Kill()
		_ = daemon.Wait()
	})
}

// freeAddress returns a free loopback address for a process that is started later.
func freeAddress(t *testing.T) string {
	address, err := testbed.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// waitDaemonServes waits until a daemon responds with 200, and then sends one request
// through it that must receive a response.
func (p *processes) waitDaemonServes(r *rawClient, address string) {
	p.w.waitUntil("daemon at "+address+" serves", func() bool {
		response, err := http.Post("http://"+address+pathLookup, "", nil)
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode == http.StatusOK
	})
	if got := r.send(address, p.w.newRequest(pathLookup), "", 1); got.Outcome != checker.Responded {
		p.w.t.Errorf("%+v", got)
	}
}

// evidence adds the runs of the targets to the evidence and returns it.
func (p *processes) evidence() *checker.Evidence {
	for n, target := range p.targets {
		for _, run := range target.RecordedRuns() {
			p.w.evidence.Runs = append(p.w.evidence.Runs, checker.Run{Target: fmt.Sprintf("t%d", n),
				RequestID: run.RequestID, Start: run.Start})
		}
	}
	return &p.w.evidence
}

// Guards against a process that was paused (SIGSTOP) and resumes with an outdated view:
// it must not send requests to a target that was drained meanwhile, nor run a request
// that it reports as not run.
func TestPausedProcess(t *testing.T) {
	t.Parallel()
	p := startProcesses(t, 2)
	w, paused := p.w, p.list.Instances[0].CallerAddress
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	r := w.newRawClient()
	for _, entry := range p.list.Instances {
		p.waitDaemonServes(r, entry.CallerAddress)
	}
	tickets := r.tickets(paused, 60)
	var senders sync.WaitGroup
	send := func(n int) {
		senders.Go(func() { r.send(paused, w.newRequest(pathRecord), tickets[n], 1) })
		senders.Go(func() { r.send(paused, w.newRequest(pathLookup), "", 1) })
	}
	for n := range 20 { // in flight when the process is paused
		send(n)
	}
	sendSignal(t, p.daemons[0], syscall.SIGSTOP)
	w.evidence.Leaving = []checker.Leaving{{Target: "t0", At: time.Now()}}
	p.configuration.Set(p.tablesText(2, "draining"))
	for n := range 20 { // sent while the process is paused
		send(20 + n)
	}
	w.waitPastLeavingBound()
	sendSignal(t, p.daemons[0], syscall.SIGCONT)
	for n := range 20 { // arrive while it resumes
		send(40 + n)
	}
	senders.Wait()
	p.waitDaemonServes(r, paused)
	p.check(w)
}

// check requires that all invariants hold and that at least one request was refused
// because the paused process had noticed that its view was stale.
func (p *processes) check(w *scenario) {
	stale := 0
	for i := range w.evidence.Calls {
		if w.evidence.Calls[i].Kind == refusal.StaleView {
			stale++
		}
	}
	w.t.Logf("%d stale-view refusals", stale)
	if stale == 0 {
		w.t.Error("no request was refused with stale-view, so the pause was not noticed")
	}
	for _, v := range checker.Check(p.evidence()) {
		if !v.Holds() {
			w.t.Errorf("%s: %d of %d violate it: %q", v.Invariant, v.Violations, v.Checked, v.Examples)
		}
	}
}

func sendSignal(t *testing.T, daemon *exec.Cmd, s syscall.Signal) {
	if err := daemon.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}
