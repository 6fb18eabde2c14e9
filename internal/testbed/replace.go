package testbed

import "github.com/go-faster/errors"

// Unlist takes an instance out of the list of instances.
func (f *Fleet) Unlist(in *Instance) {
	in.removed.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publishList()
}

// Replace starts a new instance in the place of one that has ended. It has the
// same identifier, new addresses and a new incarnation.
func (f *Fleet) Replace(place int) (*Instance, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.instances[place].ended:
	default:
		return nil, errors.Errorf("instance %s has not ended", f.instances[place].ID())
	}
	instance, err := f.newInstance(place)
	if err != nil {
		return nil, err
	}
	f.instances[place] = instance
	f.publishList()
	instance.start()
	return instance, nil
}
