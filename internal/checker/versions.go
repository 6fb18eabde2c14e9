package checker

import "time"

// versionsRise: no instance goes back to an older configuration, also over a
// restart.
func versionsRise(e *Evidence) Verdict {
	v := Verdict{Invariant: "the configuration in force never reverts"}
	highest := make(map[string]uint64)
	for _, version := range e.Versions {
		v.Checked++
		if last := highest[version.Instance]; version.Version < last {
			v.violate("instance %s went from version %d to %d", version.Instance, last, version.Version)
		}
		highest[version.Instance] = max(highest[version.Instance], version.Version)
	}
	return v
}

// editsInForce: each edit, or a higher one, is in force at each instance within
// ConfigurationBound. Edits younger than the bound at the end of the run are
// checked only if they arrived.
func editsInForce(e *Evidence) Verdict {
	v := Verdict{Invariant: "an edit is in force everywhere within 8 s"}
	for _, edit := range e.Edits {
		if e.EndedAt.Sub(edit.At) < ConfigurationBound {
			continue
		}
		for _, instance := range edit.Instances {
			v.Checked++
			if took, ok := inForce(e, edit, instance); !ok {
				v.violate("version %d never came to instance %s", edit.Version, instance)
			} else if took > ConfigurationBound {
				v.violate("version %d came to instance %s after %v", edit.Version, instance, took)
			}
		}
	}
	return v
}

// inForce returns how long after the edit the instance had it, or a higher one.
func inForce(e *Evidence, edit Edit, instance string) (time.Duration, bool) {
	for _, version := range e.Versions {
		if version.Instance == instance && version.Version >= edit.Version {
			return version.At.Sub(edit.At), true
		}
	}
	return 0, false
}
