package testbed

import "sync"

// partition assigns instances to groups that cannot reach each other.
type partition struct {
	mu    sync.RWMutex
	group map[string]int
}

// connected reports whether two instances are in the same group. Without a partition
// all are.
func (p *partition) connected(a, b string) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.group[a] == p.group[b]
}

// Partition blocks the connections between instances of different groups; group
// returns the group of the instance at an index. Partition(nil) heals the partition.
func (f *Fleet) Partition(group func(index int) int) {
	groups := make(map[string]int)
	for index, instance := range f.Instances() {
		if group != nil {
			groups[instance.ID()] = group(index)
		}
	}
	f.partition.mu.Lock()
	defer f.partition.mu.Unlock()
	f.partition.group = groups
}
