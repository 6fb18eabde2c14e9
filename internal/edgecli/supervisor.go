package edgecli

import (
	"bytes"
	"log/slog"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/dogwoodroute/dogwoodroute/node"
	"github.com/dogwoodroute/dogwoodroute/platform"
	"github.com/dogwoodroute/dogwoodroute/secure"
)

// supervisor passes signals and changes of the settings file to a node.
type supervisor struct {
	node         *node.Node
	store        *platform.Store
	settingsPath string
	// identity is nil if connections between instances are not protected.
	identity     *secure.Identity
	log          *slog.Logger
	lastSettings []byte // content of the settings file when last read
}

// watch handles signals and polls the settings file until ended is closed. SIGHUP reloads
// the settings and the certificates; any other signal stops the node.
func (s *supervisor) watch(signals <-chan os.Signal, ended <-chan struct{}) {
	s.lastSettings, _ = os.ReadFile(s.settingsPath) // a later poll or reload reads it again
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case received := <-signals:
			if received == syscall.SIGHUP {
				s.reload("signal")
				s.identity.ReloadAndLog(s.log)
			} else {
				s.node.Stop()
			}
		case <-ticker.C:
			if s.settingsChanged() {
				s.reload("file changed")
			}
		case <-ended:
			return
		}
	}
}

// settleTime is the time for which a changed settings file must stay as it is.
const settleTime = 50 * time.Millisecond

// settingsChanged reports whether the settings file has changed and is complete. One that
// is just being written may be valid, with defaults for what is still missing.
func (s *supervisor) settingsChanged() bool {
	source, err := os.ReadFile(s.settingsPath)
	if err != nil || bytes.Equal(source, s.lastSettings) {
		return false
	}
	time.Sleep(settleTime)
	again, err := os.ReadFile(s.settingsPath)
	return err == nil && bytes.Equal(source, again)
}

// reload applies the settings file. If it cannot be read or is invalid, the settings in
// use stay.
func (s *supervisor) reload(reason string) {
	source, err := os.ReadFile(s.settingsPath)
	if err != nil {
		s.log.Warn("read settings failed; the previous ones stay in use", "reason", reason, "error", err.Error())
		return
	}
	s.lastSettings = source
	settings, err := platform.ParseSettings(source)
	if err != nil {
		s.log.Warn("settings invalid; the previous ones stay in use", "reason", reason, "error", err.Error())
		return
	}
	debug.SetMemoryLimit(settings.RuntimeBytes())
	s.store.SetAddress(settings.StoreAddress)
	s.node.Reload(settings)
}
