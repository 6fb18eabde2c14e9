package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/internal/sortedmerge"
)

// SetTargets replaces the targets that accept new requests, by service. The state of
// incarnations that are in the list, or were in it before, is kept. The lists must not be
// modified afterwards; one that is the same slice as before costs nothing.
func (p *Placer) SetTargets(now time.Duration, services map[string][]*catalog.Target) {
	removed, added := make(map[string][]*catalog.Target), make(map[string][]*catalog.Target)
	for name, list := range p.lists {
		removed[name], added[name] = difference(list, services[name])
	}
	for name, list := range services {
		if p.lists[name] == nil {
			added[name] = list
		}
	}
	p.generation++
	for _, list := range removed {
		for _, registered := range list {
			if t := p.targets[registered.Incarnation()]; t != nil {
				t.removedIn = p.generation
				delete(p.targets, registered.Incarnation())
				p.absent.add(now, t)
			}
		}
	}
	for name, list := range added {
		if len(list)+len(removed[name]) > 0 {
			p.replaceService(now, name, list)
		}
	}
	p.absent.expire(now)
	p.lists = services
	p.demand.keepServices(p.services)
	p.keepReachabilities()
}

// difference returns the parts of two lists without their common beginning and end. The
// lists of successive views share most of their targets, in the same order.
func difference(before, after []*catalog.Target) (removed, added []*catalog.Target) {
	for len(before) > 0 && len(after) > 0 && before[0] == after[0] {
		if len(before) == len(after) && &before[0] == &after[0] {
			return nil, nil // the same slice
		}
		before, after = before[1:], after[1:]
	}
	for len(before) > 0 && len(after) > 0 && before[len(before)-1] == after[len(after)-1] {
		before, after = before[:len(before)-1], after[:len(after)-1]
	}
	return before, after
}

// replaceService sets the targets of a service to those before, without the ones that the
// present call of SetTargets has removed, and with added, in this instance's own order.
func (p *Placer) replaceService(now time.Duration, name string, added []*catalog.Target) {
	byOrder := func(a, b *target) int { return cmp.Compare(a.order, b.order) }
	entering := make([]*target, 0, len(added))
	for _, registered := range added {
		id := registered.Incarnation()
		t := p.targets[id]
		if t == nil {
			if t = p.absent.take(id); t != nil && t.removedIn != p.generation {
				t.warmup.mayHaveBecomeCold(now) // it was away since an earlier call
			}
		}
		if t == nil {
			t = &target{warmUntil: now + registered.WarmupLeft, order: p.order(id.ID)}
		}
		if registered.WarmupLeft > 0 && t.warmup.current(now) == stateWarm {
			t.warmup.mayHaveBecomeCold(now)
		}
		t.Target, t.warmup.terms = registered, p.warmupTerms[name]
		p.targets[id] = t
		entering = append(entering, t)
	}
	slices.SortFunc(entering, byOrder)
	list := sortedmerge.Update(p.services[name], func(t *target) bool { return t.removedIn == p.generation }, entering, byOrder)
	delete(p.owned, name)
	if len(list) == 0 {
		delete(p.services, name)
		delete(p.hasLocal, name)
		return
	}
	p.services[name] = list
	p.hasLocal[name] = slices.ContainsFunc(list, func(t *target) bool { return t.FailureDomain == p.domain })
}
