package placement

import (
	"slices"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

const (
	// nearSample and farSample are how many targets of the own failure domain,
	// and then of the others, are asked for their load.
	nearSample = 3
	farSample  = 3
)

// Sample returns the targets to ask for their load: those of the own failure
// domain, or of the others when far is set. Targets that did not answer lately
// are asked only when no others are left.
func (p *Placer) Sample(now time.Duration, r *Request, far bool) []*catalog.Target {
	n := nearSample
	if far {
		n = farSample
	}
	var good, doubtful []*target
	for _, t := range p.services[r.Service] {
		if (t.FailureDomain != p.domain) != far || slices.Contains(r.Tried, t.Incarnation()) {
			continue
		}
		if now < t.suspended {
			doubtful = append(doubtful, t)
		} else {
			good = append(good, t)
		}
	}
	list := good
	if len(list) == 0 {
		list = doubtful
	}
	p.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	sample := make([]*catalog.Target, 0, n)
	for _, t := range list[:min(n, len(list))] {
		sample = append(sample, t.Target)
	}
	return sample
}
