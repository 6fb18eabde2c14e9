package cli

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/dogwoodroute/dogwoodroute"
	"github.com/dogwoodroute/dogwoodroute/settings"
)

// NewDaemonCommand returns the daemon's command line.
func NewDaemonCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "dogwoodrouted SETTINGS",
		Short:   "Run one entry instance with the given settings file",
		Example: "  dogwoodrouted /etc/dogwoodroute/settings.json",
		Version: version(),
		Args:    usage(cobra.ExactArgs(1)),
		RunE:    func(command *cobra.Command, args []string) error { return runDaemon(command, args[0]) },
	}
}

func runDaemon(command *cobra.Command, file string) error {
	source, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	s, err := settings.Parse(file, source)
	if err != nil {
		return err
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return errors.Wrap(err, "log level")
	}
	log := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	instance, err := dogwoodroute.New(dogwoodroute.Options{Settings: s, Log: log})
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	ended := make(chan struct{})
	defer close(ended)
	go handleStopSignals(signals, ended, instance)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	go handleReloadSignals(reloads, ended, instance)
	return instance.Run(command.Context())
}

// stopper is the part of an instance that signals act on.
type stopper interface {
	Stop()
	StopNow()
}

// handleStopSignals starts a planned stop on the first signal and ends at once on the second.
func handleStopSignals(signals <-chan os.Signal, ended <-chan struct{}, instance stopper) {
	for _, stop := range []func(){instance.Stop, instance.StopNow} {
		select {
		case <-signals:
			stop()
		case <-ended:
			return
		}
	}
}

// reloader is the part of an instance that SIGHUP acts on.
type reloader interface{ ReloadCertificates() }

func handleReloadSignals(signals <-chan os.Signal, ended <-chan struct{}, instance reloader) {
	for {
		select {
		case <-signals:
			instance.ReloadCertificates()
		case <-ended:
			return
		}
	}
}
