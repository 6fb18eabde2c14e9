package once

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/defaults"
)

// Options configure a Ledger. The zero value stands for the defaults.
type Options struct {
	// Incarnation identifies this process lifetime. Default 128 random bits.
	Incarnation Incarnation
	// Validity is the time from a ticket's issue to its expiry. Default 30 s.
	Validity time.Duration
	// Retention is the time for which a ticket is remembered after its expiry.
	// It makes answers to late resends more precise; safety does not depend on
	// it. Default 10 s.
	Retention time.Duration
	// MaxRunning bounds the number of requests started and not finished. Default 8192.
	MaxRunning int
	// MaxResponseBytes bounds one recorded answer. Default 64 KiB.
	MaxResponseBytes int
	// MaxTotalResponseBytes bounds all recorded answers and their bookkeeping. Default 8 MiB.
	MaxTotalResponseBytes int
}

func (o Options) withDefaults() Options {
	defaults.Positive(&o.Validity, 30*time.Second)
	defaults.Positive(&o.Retention, 10*time.Second)
	defaults.Positive(&o.MaxRunning, 8192)
	defaults.Positive(&o.MaxResponseBytes, 64<<10)
	defaults.Positive(&o.MaxTotalResponseBytes, 8<<20)
	return o
}
