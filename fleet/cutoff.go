package fleet

// updateCutOff sets the flag CutOff of this instance, and notifies peers of a change.
func (t *Task) updateCutOff() {
	if t.options.CutOff != nil && t.setFlag(CutOff, t.options.CutOff()) {
		t.scheduleBroadcast(scopeFew)
	}
}
