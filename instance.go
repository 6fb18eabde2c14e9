package dogwoodroute

import (
	"crypto/rand"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/confsync"
	"github.com/dogwoodroute/dogwoodroute/entry"
	"github.com/dogwoodroute/dogwoodroute/membership"
	"github.com/dogwoodroute/dogwoodroute/metrics"
	"github.com/dogwoodroute/dogwoodroute/once"
	"github.com/dogwoodroute/dogwoodroute/poison"
	"github.com/dogwoodroute/dogwoodroute/secure"
	"github.com/dogwoodroute/dogwoodroute/settings"
	"github.com/dogwoodroute/dogwoodroute/timeline"
	"github.com/dogwoodroute/dogwoodroute/transport"
)

// Options configure an Instance.
type Options struct {
	// Settings are the settings of the instance, as returned by settings.Parse.
	// Required.
	Settings *settings.Settings
	// Log receives state changes. Default slog.Default().
	Log *slog.Logger
	// Listeners, if set, are used instead of listening on the addresses of the
	// settings. Run closes them.
	Listeners *Listeners
	// Poison configures the detection of requests that crash targets. All
	// instances of a fleet must use the same values. For the defaults see
	// poison.Options.
	Poison poison.Options
	// Reachable reports whether a peer can be reached. Tests use it to simulate
	// network partitions between instances. Nil means that all peers are reachable.
	Reachable func(peer string) bool
}

// Listeners accept the connections of callers, of other instances (Peers), and
// to the administration API (Operators).
type Listeners struct {
	Callers, Peers, Operators net.Listener
}

// Instance is one entry instance. It starts, connects and stops tasks, each of
// which owns its state.
type Instance struct {
	settings    *settings.Settings
	log         *slog.Logger
	start       time.Time
	incarnation membership.Incarnation
	listeners   *Listeners
	reachable   func(peer string) bool
	identity    *secure.Identity

	transport *transport.Client
	metrics   *metrics.Metrics
	events    *timeline.Recorder
	counts    requestCounts
	members   *membership.Task
	syncer    *confsync.Syncer
	once      *once.Task
	poison    *poison.Task
	pools     *poolSet

	drain        entry.Drain
	stop         chan struct{} // closed by Stop
	stopNow      chan struct{} // closed by StopNow
	stopOnce     sync.Once
	stopNowOnce  sync.Once
	abortedCount atomic.Int64
	running      atomic.Bool // set once all tasks exist
	limits       atomic.Pointer[connectionLimits]
	view         atomic.Pointer[entry.View]
	inForceSince atomic.Pointer[time.Time] // when the current configuration took effect
}

// New returns an instance that does not run yet. It returns an error if the
// settings are missing, the certificates cannot be loaded, or the metrics or the
// ticket ledger cannot be created.
func New(o Options) (*Instance, error) {
	if o.Settings == nil {
		return nil, errors.New("create instance: settings are missing")
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	start := time.Now()
	i := &Instance{settings: o.Settings, log: o.Log.With("instance", o.Settings.ID), start: start,
		incarnation: membership.NewIncarnation(start), reachable: o.Reachable, listeners: o.Listeners,
		stop: make(chan struct{}), stopNow: make(chan struct{})}
	var err error
	if i.identity, err = secure.Load(o.Settings.Security); err != nil {
		return nil, errors.Wrap(err, "load certificates")
	}
	if i.metrics, err = metrics.New(o.Settings.ID); err != nil {
		return nil, err
	}
	i.events = timeline.NewRecorder(timeline.Options{Instance: o.Settings.ID, Incarnation: i.incarnation.String()})
	i.transport = transport.NewClient(transport.Options{ConnectionLimit: i.connectionLimit, Now: i.now})
	i.limits.Store(new(connectionLimits))
	ledger, err := once.NewLedger(once.Options{Incarnation: once.Incarnation(i.incarnation)}, rand.Reader)
	if err != nil {
		return nil, err
	}
	i.once = once.NewTask(once.TaskOptions{Ledger: ledger, Now: i.now, Owners: owners{i}})
	i.poison = poison.NewTask(poison.TaskOptions{Options: o.Poison, Random: newRand(), Now: i.now, Peers: notifier{i}, Trials: trialClient{i}})
	return i, nil
}

// ReloadCertificates reads the certificate files of the security settings again.
// If that fails, it logs the error and keeps the current certificates.
func (i *Instance) ReloadCertificates() { i.identity.ReloadAndLog(i.log) }

// now returns the time since the start of the instance, on the monotonic clock.
func (i *Instance) now() time.Duration { return time.Since(i.start) }

// Timeline returns the recorder of the instance's events.
func (i *Instance) Timeline() *timeline.Recorder { return i.events }
