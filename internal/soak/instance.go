package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/node"
	"github.com/dogwoodroute/dogwoodroute/platform/platformtest"
)

// instance is one process of the program under test. Its methods are safe for
// concurrent use. Signals are sent only to the process that it started.
type instance struct {
	settings     *node.Settings
	program      string
	settingsPath string
	logPath      string
	callerProxy  *proxy // between callers and the instance
	storeProxy   *proxy // between the instance and the store
	// disturbed is called when the process is started or gets a signal other than SIGHUP.
	disturbed func()

	mu            sync.Mutex
	command       *exec.Cmd
	exited        chan struct{} // closed when the process has ended
	stopRequested bool          // SIGTERM or SIGKILL was sent
	killed        bool          // SIGKILL was sent
	violations    []string      // unexpected exits and failed starts
}

func newInstance(n network, o Options, number int, seeds []string, storeAddress string) (*instance, error) {
	id := fmt.Sprintf("i%d", number)
	store, err := newProxy(n.address(storeSubnet, number+1, storePort), storeAddress)
	if err != nil {
		return nil, err
	}
	entry, err := newProxy(n.address(callerProxySubnet, number, callerPort), n.address(instanceSubnet, number, callerPort))
	if err != nil {
		return nil, err
	}
	i := &instance{program: o.Program, callerProxy: entry, storeProxy: store, settingsPath: filepath.Join(o.Directory, id+".settings"),
		logPath: filepath.Join(o.Directory, id+".log"), settings: &node.Settings{
			ID: id, FailureDomain: domains[number%len(domains)], FailureDomains: domains, Region: "r", Seeds: seeds,
			StoreAddress: store.address(), MemoryBytes: memoryBytes, FirstStart: true,
			Addresses: node.Addresses{Callers: n.address(instanceSubnet, number, callerPort),
				Resolve:   n.address(instanceSubnet, number, resolvePort),
				Readiness: n.address(instanceSubnet, number, readinessPort), Peers: n.address(instanceSubnet, number, peerPort)},
			Bounds: node.Bounds{ShutdownTimeout: stopTimeout, ResolveValidity: resolveValidity, RetryRatio: retryRatio,
				RetryWindow: retryWindow, RetryAllowance: retryAllowance, ProbesPerTarget: probesPerTarget,
				WarmupOverage: warmupOverage, WarmupAllowance: warmupAllowance}}}
	return i, i.writeSettings()
}

// sourceAddress returns the IP address from which the instance connects to targets.
func (i *instance) sourceAddress() string {
	host, _, err := net.SplitHostPort(i.settings.Addresses.Callers)
	if err != nil {
		panic(err) // the address is made by network.address
	}
	return host
}

// writeSettings replaces the settings file at once, so that no process reads a part of it.
func (i *instance) writeSettings() error {
	next := i.settingsPath + ".next"
	err := os.WriteFile(next, platformtest.SettingsText(i.settings), 0o600)
	if err == nil {
		err = os.Rename(next, i.settingsPath)
	}
	if err != nil {
		return errors.Wrapf(err, "write settings of %s", i.settings.ID)
	}
	return nil
}

// start starts the process unless it is running.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command != nil {
		return nil
	}
	log, err := os.OpenFile(i.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrapf(err, "open log of %s", i.settings.ID)
	}
	command := exec.Command(i.program, "--local-address", i.sourceAddress())
	command.Env = append(os.Environ(), platformtest.SettingsVariable+"="+i.settingsPath)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = log.Close()
		return errors.Wrapf(err, "start %s", i.settings.ID)
	}
	i.disturbed()
	i.command, i.exited, i.stopRequested, i.killed = command, make(chan struct{}), false, false
	go i.waitForExit(command, log, i.exited)
	go i.watchMemory(command.Process.Pid, i.exited)
	return nil
}

// memoryInterval is the time between two looks at the memory of a process.
const memoryInterval = 5 * time.Millisecond

// watchMemory records a violation if the process exceeds its memory limit, as the platform
// would then kill it.
func (i *instance) watchMemory(pid int, exited <-chan struct{}) {
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-exited:
			return
		case <-ticker.C:
		}
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		_, text, _ := strings.Cut(string(status), "RssAnon:")
		var kilobytes int64
		if _, scanErr := fmt.Sscan(text, &kilobytes); err != nil || scanErr != nil {
			return // the process has ended
		}
		if kilobytes<<10 > i.settings.MemoryBytes {
			i.addViolation(fmt.Sprintf("a process keeps to its memory: %s has %d KiB", i.settings.ID, kilobytes))
			return
		}
	}
}

// waitForExit waits for the end of the process and records a violation if it ended
// unrequested, or with an error after SIGTERM.
func (i *instance) waitForExit(command *exec.Cmd, log *os.File, exited chan struct{}) {
	err := command.Wait()
	_ = log.Close()
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case !i.stopRequested:
		i.violations = append(i.violations, fmt.Sprintf("%s ended by itself: %v", i.settings.ID, err))
	case !i.killed && err != nil:
		i.violations = append(i.violations, fmt.Sprintf("%s ended with an error after SIGTERM: %v", i.settings.ID, err))
	}
	i.command = nil
	close(exited)
}

// signal sends a signal to the process if it is running.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command == nil {
		return
	}
	if s == syscall.SIGHUP { // must not disturb anything
		_ = i.command.Process.Signal(s) // fails only when the process has ended
		return
	}
	i.stopRequested = i.stopRequested || s == syscall.SIGTERM || s == syscall.SIGKILL
	i.killed = i.killed || s == syscall.SIGKILL
	i.disturbed()
	_ = i.command.Process.Signal(s) // fails only when the process has ended
}

// stop stops the process as the platform does: it sends SIGTERM, and SIGKILL if the
// process has not ended after the shutdown timeout of its settings. It reports whether
// SIGTERM sufficed.
func (i *instance) stop() bool {
	i.mu.Lock()
	limit := i.settings.Bounds.ShutdownTimeout
	i.mu.Unlock()
	i.signal(syscall.SIGTERM)
	return i.waitOrKill(limit)
}

// waitOrKill waits for the end of the process and kills it after the limit. It
// reports whether the process ended without being killed here.
func (i *instance) waitOrKill(limit time.Duration) bool {
	i.mu.Lock()
	exited, running := i.exited, i.command != nil
	i.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
	}
	i.signal(syscall.SIGCONT)
	i.signal(syscall.SIGKILL)
	<-exited
	return false
}

// reload writes new settings with a random retry allowance and sends SIGHUP.
func (i *instance) reload(r *rand.Rand) {
	i.changeSettings(func(s *node.Settings) { s.Bounds.RetryAllowance = float64(retryAllowance - r.IntN(10)) })
	i.signal(syscall.SIGHUP)
}

// changeSettings writes changed settings. The process notices them within seconds, or at
// once with SIGHUP.
func (i *instance) changeSettings(change func(*node.Settings)) {
	i.mu.Lock()
	change(i.settings)
	err := i.writeSettings()
	i.mu.Unlock()
	if err != nil {
		i.addViolation(err.Error())
	}
}

// addViolation records a violation by the process itself, such as a failed start.
func (i *instance) addViolation(text string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.violations = append(i.violations, text)
}

func (i *instance) close() {
	i.callerProxy.close()
	i.storeProxy.close()
}
