package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
)

const (
	// burstVersions is the number of versions in a burst, burstPause the time between two.
	burstVersions = 12
	burstPause    = 60 * time.Millisecond
	// fillerRoutes bring a configuration to about 0.9 MB; the store holds values of 1 MB.
	fillerRoutes = 4500
	// burstTime is the time after a burst until the configuration is short again.
	burstTime = 2 * configLimit
)

// burst writes long configurations in quick succession, the last one with another change.
func (f *fleet) burst(ctx context.Context, r *rand.Rand) {
	f.configLock.Lock()
	before := len(f.config.Routes)
	for n := range fillerRoutes {
		filler := f.config.Routes[0]
		filler.Name = fmt.Sprintf("filler-%d", n)
		filler.Prefix = "/" + filler.Name + "/"
		f.config.Routes = append(f.config.Routes, filler)
	}
	for range burstVersions {
		f.putConfig()
		backoff.Sleep(ctx, burstPause)
	}
	f.config.Routes[0].Services = []catalog.WeightedService{{Service: services[r.IntN(len(services))], Weight: 1}}
	f.putConfig()
	backoff.Sleep(ctx, burstTime)
	f.config.Routes = f.config.Routes[:before]
	f.putConfig()
	f.configLock.Unlock()
}
