package edgecli

import (
	"bytes"
	"log/slog"
	"os"
	"syscall"
	"time"

	"github.com/dogwoodroute/dogwoodroute/node"
	"github.com/dogwoodroute/dogwoodroute/platform"
	"github.com/dogwoodroute/dogwoodroute/secure"
)

// supervisor passes signals and changed settings to a node.
type supervisor struct {
	node *node.Node
	path string
	// identity is nil when links between instances are not protected.
	identity *secure.Identity
	log      *slog.Logger
	last     []byte // the settings file as last read
}

func (s *supervisor) watch(signals <-chan os.Signal, ended <-chan struct{}) {
	s.last, _ = os.ReadFile(s.path) // a failure shows at the next reload
	ticker := time.NewTicker(settingsPoll)
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
			if source, err := os.ReadFile(s.path); err == nil && !bytes.Equal(source, s.last) {
				s.reload("file changed")
			}
		case <-ended:
			return
		}
	}
}

// reload keeps the settings in force when the file cannot be used.
func (s *supervisor) reload(reason string) {
	source, err := os.ReadFile(s.path)
	if err != nil {
		s.log.Warn("settings not read, the former ones stay", "reason", reason, "error", err.Error())
		return
	}
	s.last = source
	settings, err := platform.ParseSettings(source)
	if err != nil {
		s.log.Warn("settings refused, the former ones stay", "reason", reason, "error", err.Error())
		return
	}
	s.node.Reload(settings)
}
