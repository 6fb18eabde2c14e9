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

// NewDaemonCommand returns the root command of dogwoodrouted.
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
		return errors.Wrap(err, "parse log level")
	}
	log := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	instance, err := dogwoodroute.New(dogwoodroute.Options{Settings: s, Log: log})
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	// Handled until the process has ended: a signal that arrives after the drain would kill it.
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ended := make(chan struct{})
	defer close(ended)
	go handleStopSignals(signals, ended, instance)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	go handleReloadSignals(reloads, ended, instance)
	return instance.Run(command.Context())
}

// stopper contains the methods of an instance that stop it.
type stopper interface {
	Stop()
	StopNow()
}

// handleStopSignals starts a planned stop on the first signal and stops the
// instance at once on the second. It returns after the second signal or when ended
// is closed.
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

// reloader contains the method of an instance that SIGHUP calls.
type reloader interface{ ReloadCertificates() }

// handleReloadSignals reloads the certificates on each signal until ended is closed.
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
