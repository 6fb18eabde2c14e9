package cli

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/entry"
)

// checkContains reports an error for each part that the text does not contain.
func checkContains(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(text, part) {
			t.Errorf("%q is missing in:\n%s", part, text)
		}
	}
}

// Guards against exit codes by which a script would take a failure for success, or
// an invalid command line for a failure of the system.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		code int
		args string
	}{
		{exitUsage, ""}, {exitUsage, "unknown"}, {exitUsage, "status"}, {exitUsage, "status extra"}, {exitUsage, "status --admin a --instances-url b"},
		{exitUsage, "status --admin a --timeout 0s"}, {exitUsage, "timeline"}, {exitUsage, "timeline --admin a --last 0s"},
		{exitUsage, "timeline --admin a --last 1s --from 2026-01-01T00:00:00Z"}, {exitUsage, "timeline --admin a --from noon"},
		{exitUsage, "timeline --admin a --from 2026-01-02T00:00:00Z --to 2026-01-01T00:00:00Z"},
		{exitUsage, "timeline --admin a --most 0"}, {exitUsage, "timeline --admin a --plot x.pdf"},
		{exitUsage, "resolve"}, {exitUsage, "send /x"}, {exitUsage, "check"}, {exitUsage, "check a --unknown"},
		{exitFailed, "check /does/not/exist"}, {exitFailed, "resolve --instance " + unreachable()},
		{exitFailed, "status --instances-url http://" + unreachable()}, {exitFailed, "status --admin " + unreachable()},
		{exitOK, "--version"}, {exitOK, "status --help"},
	} {
		got := run(strings.Fields(c.args)...)
		if got.code != c.code {
			t.Errorf("%q: exit code %d, want %d: %s", c.args, got.code, c.code, got.stderr)
		}
		is.Equal(got.code == exitOK, got.stderr == "")
	}
	for _, name := range []string{"status", "timeline", "resolve", "check", "send", "replay"} {
		checkContains(t, run(name, "--help").stdout, "Examples:", "dogwoodroute "+name)
	}
}

// Guards against a status that omits an unreachable instance, a different version
// or a target whose state differs between instances.
func TestStatus(t *testing.T) {
	is := is.New(t)
	addresses := startFleet(t)
	got := run("status", "--timeout", longTimeout, "--admin", strings.Join(addresses[:2], ","))
	is.Equal(got.code, exitOK)
	checkContains(t, got.stdout, "the instances asked agree", "5 (person 1, program 4)", "3 of 3")

	got = run("status", "--timeout", longTimeout, "--instances-url", serveList(t, addresses...))
	is.Equal(got.code, exitFailed)
	checkContains(t, got.stdout, "disagreement on version: [version 5, digest digest00000: i1 i2] [version 4, digest digest0000: i3]",
		"disagreement on target t2 of pool prices: [serving: i1 i2] [ejected: i3]",
		"i3 refused version 5", "line 3, column 9: pools[0].targets: pool has no targets")
	checkContains(t, got.stderr, errVersionsDiffer.Error())

	unreachableAddress := unreachable()
	got = run("status", "--timeout", longTimeout, "--instances-url", serveList(t, addresses[0], unreachableAddress, ""), "--json")
	is.Equal(got.code, exitFailed)
	checkContains(t, got.stderr, errInstancesMissing.Error())
	var report statusReport
	is.NoErr(json.Unmarshal([]byte(got.stdout), &report))
	is.Equal(len(report.Instances), 1)
	is.Equal(len(report.Failures), 2)
	is.Equal(report.Failures[0].Address, unreachableAddress)
	is.Equal(report.Failures[1].Instance, "at-")
}

// Guards against problems without a position, and against accepting a version that
// an instance would refuse.
func TestCheck(t *testing.T) {
	is := is.New(t)
	valid := `{"version": 7, "routes": [], "pools": []}`
	bad := writeTempFile(t, "bad.json", "{\"version\": 0,\n \"pools\": [{\"name\": \"p\", \"targets\": []}]}")
	got := run("check", writeTempFile(t, "good.json", valid), "--against", writeTempFile(t, "old.json", `{"version": 6, "routes": [], "pools": []}`))
	is.Equal(got.code, exitOK)
	checkContains(t, got.stdout, "version 7, digest ", "0 routes, 0 pools")

	got = run("check", bad)
	is.Equal(got.code, exitFailed)
	checkContains(t, got.stdout, bad+": line 1, column 13: version: ", "line 2, column 37: pools[0].targets: ")

	got = run("check", bad, "--json")
	is.Equal(got.code, exitFailed)
	var report checkReport
	is.NoErr(json.Unmarshal([]byte(got.stdout), &report))
	is.Equal(len(report.Problems), 2)
	is.Equal(report.Problems[1].Line, 2)

	for _, against := range []string{valid, strings.Replace(valid, "7", "8", 1)} {
		got = run("check", writeTempFile(t, "good.json", valid), "--against", writeTempFile(t, "new.json", against))
		is.Equal(got.code, exitFailed)
		checkContains(t, got.stdout, "line 1, column 13: version: version 7 is not higher than")
	}
	is.Equal(run("check", writeTempFile(t, "good.json", valid), "--against", bad).code, exitFailed)
}

// Guards against a resolve command that prints other instances or shares than those
// that callers use.
func TestResolve(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(entry.Resolution{ValidForMillis: 5000, Instances: []entry.ResolvedInstance{
			{ID: "i1", Address: "10.0.0.1:8080", FailureDomain: r.URL.Query().Get("failure_domain"), Weight: 3}, {ID: "i2", Weight: 1}}})
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	got := run("resolve", "--instance", address, "--failure-domain", "poa-a")
	is.Equal(got.code, exitOK)
	checkContains(t, got.stdout, "i1", "10.0.0.1:8080", "poa-a", "75.0%", "25.0%", "valid for 5000 ms")
	var resolution entry.Resolution
	is.NoErr(json.Unmarshal([]byte(run("resolve", "--instance", address, "--json").stdout), &resolution))
	is.Equal(len(resolution.Instances), 2)
}

// Guards against a command that prints nothing while an instance does not respond,
// and against progress that is printed after the end of the command.
func TestProgress(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	ticks, done, ended := make(chan time.Time), make(chan struct{}), make(chan struct{})
	go func() {
		runProgress(&out, ticks, done, func() string { return "waiting" })
		close(ended)
	}()
	ticks <- time.Time{}
	ticks <- time.Time{}
	close(done)
	<-ended
	is.Equal(out.String(), "waiting\nwaiting\n")
}

// Guards against an empty plot file that remains after a failure.
func TestPlotWithoutEvents(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "none.svg")
	got := run("timeline", "--admin", startFleet(t)[0], "--timeout", longTimeout, "--request", "none", "--plot", path)
	is.Equal(got.code, exitFailed)
	checkContains(t, got.stderr, "no events to draw")
	matches, err := filepath.Glob(path)
	is.NoErr(err)
	is.Equal(len(matches), 0)
}
