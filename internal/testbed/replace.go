package testbed

import "github.com/go-faster/errors"

// Unlist removes an instance from the list of instances. The instance keeps running.
func (f *Fleet) Unlist(in *Instance) {
	in.unlisted.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publishList()
}

// Replace starts a new instance in place of the one at an index, which must have
// ended. The new instance has the same identifier, new addresses and a new
// incarnation, and is in the list of instances.
func (f *Fleet) Replace(index int) (*Instance, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.instances[index].ended:
	default:
		return nil, errors.Errorf("instance %s has not ended", f.instances[index].ID())
	}
	instance, err := f.newInstance(index)
	if err != nil {
		return nil, err
	}
	f.instances[index] = instance
	f.publishList()
	instance.start()
	return instance, nil
}
