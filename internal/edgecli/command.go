package edgecli

import (
	"context"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/dogwoodroute/dogwoodroute/eventlog"
	"github.com/dogwoodroute/dogwoodroute/node"
	"github.com/dogwoodroute/dogwoodroute/platform"
	"github.com/dogwoodroute/dogwoodroute/secure"
)

// settingsPollInterval is the time between checks of the settings file, which may change
// without a signal.
const settingsPollInterval = 2 * time.Second

// NewCommand returns the command dogwoodroute-edge, which runs one instance until it is
// stopped by a signal.
func NewCommand() *cobra.Command {
	var flags flags
	command := &cobra.Command{
		Use:   "dogwoodroute-edge",
		Short: "Run one entry instance on a platform with a read-only store",
		Long: "Run one entry instance on a platform with a read-only store.\n" +
			"The platform gives the path of the settings file in the environment.",
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE:          func(command *cobra.Command, _ []string) error { return flags.run(command.Context()) },
	}
	command.Flags().IntVar(&flags.metricsPort, "metrics-port", 0, "port that serves metrics on the caller address; 0: none")
	command.Flags().StringVar(&flags.localAddress, "local-address", "",
		"IP address from which connections to targets are opened; empty: chosen by the system")
	flags.security.AddFlags(command.Flags())
	return command
}

// flags holds the flag values of the command.
type flags struct {
	metricsPort  int
	localAddress string
	security     secure.Files
}

func (f *flags) run(ctx context.Context) error {
	// First of all, and until the process has ended: a signal without a handler kills it, and a
	// second SIGTERM may arrive after the drain.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	log := eventlog.New(os.Stdout)
	defer log.Close()
	logger := log.Logger(slog.LevelInfo)
	path, err := platform.SettingsPath()
	if err != nil {
		return err
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(settings.RuntimeBytes())
	identity, err := secure.Load(f.security)
	if err != nil {
		return errors.Wrap(err, "load certificates")
	}
	local, err := parseLocalAddress(f.localAddress)
	if err != nil {
		return err
	}
	store := platform.NewStore(settings.StoreAddress)
	n, err := node.New(node.Options{Settings: settings, Source: store,
		Decoder: platform.Decoder{}, Dialect: platform.Dialect(), ResolveHandler: platform.ResolveHandler,
		ReadyHandler: platform.ReadyHandler, Identity: identity, MetricsPort: f.metricsPort, LocalAddress: local, Log: logger})
	if err != nil {
		return errors.Wrap(err, "create instance")
	}
	ended := make(chan struct{})
	defer close(ended)
	go (&supervisor{node: n, store: store, settingsPath: path, identity: identity, log: logger}).watch(signals, ended)
	return n.Run(ctx)
}

// parseLocalAddress returns the address of the flag, one that is not valid for an empty text.
func parseLocalAddress(text string) (netip.Addr, error) {
	if text == "" {
		return netip.Addr{}, nil
	}
	address, err := netip.ParseAddr(text)
	if err != nil {
		return netip.Addr{}, errors.Wrap(err, "parse local address")
	}
	return address, nil
}
