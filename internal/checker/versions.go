package checker

import "time"

// versionsNeverRevert checks that no instance puts an older configuration in force
// than it had before, also across restarts.
func versionsNeverRevert(e *Evidence) Verdict {
	v := Verdict{Invariant: "the configuration in force never reverts"}
	highest := make(map[string]uint64)
	for _, version := range e.Versions {
		v.Checked++
		if last := highest[version.Instance]; version.Version < last {
			v.addViolation("instance %s went from version %d to %d", version.Instance, last, version.Version)
		}
		highest[version.Instance] = max(highest[version.Instance], version.Version)
	}
	return v
}

// editsInForce checks that each edit, or a higher version, is in force at each of
// its instances within ConfigurationBound. Edits that are younger than the bound at
// the end of the run are not checked.
func editsInForce(e *Evidence) Verdict {
	v := Verdict{Invariant: "an edit is in force everywhere within 8 s"}
	for _, edit := range e.Edits {
		if e.EndedAt.Sub(edit.At) < ConfigurationBound {
			continue
		}
		for _, instance := range edit.Instances {
			v.Checked++
			if delay, ok := inForce(e, edit, instance); !ok {
				v.addViolation("version %d never came to instance %s", edit.Version, instance)
			} else if delay > ConfigurationBound {
				v.addViolation("version %d came to instance %s after %v", edit.Version, instance, delay)
			}
		}
	}
	return v
}

// inForce returns the time from the edit until the instance had its version or a
// higher one in force, and whether that happened.
func inForce(e *Evidence, edit Edit, instance string) (time.Duration, bool) {
	for _, version := range e.Versions {
		if version.Instance == instance && version.Version >= edit.Version {
			return version.At.Sub(edit.At), true
		}
	}
	return 0, false
}
