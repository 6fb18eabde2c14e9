package dispatch

import "time"

// Call connects a request handler with a Task. Its methods must be called by one
// goroutine only, except Actions.
type Call struct {
	task    *Task
	id      RequestID
	actions chan Action
}

// Actions returns the channel of actions that the handler must perform. It is
// never closed.
func (c *Call) Actions() <-chan Action { return c.actions }

// Done returns a channel that is closed when the task has ended, not when the
// request has. After that no more actions are sent: those sent before can still
// be read from Actions, and events reported by the handler have no effect. The
// handler must then stop the attempts that it started.
func (c *Call) Done() <-chan struct{} { return c.task.done }

// Responded reports that the response head of an attempt has arrived.
func (c *Call) Responded(id AttemptID, response Response) {
	c.task.post(func(now time.Duration) []Action { return c.task.options.Scheduler.Responded(now, id, response) })
}

// Ended reports that an attempt has ended. It must be called once for each
// attempt that the handler started.
func (c *Call) Ended(id AttemptID, e End) {
	c.task.post(func(now time.Duration) []Action { return c.task.options.Scheduler.Ended(now, id, e) })
}

// Close reports that the handler reads no more actions. It must still call Ended
// for its attempts in flight. Attempts whose ActionSend was not read were never
// started; the task ends them.
func (c *Call) Close() {
	c.task.post(func(now time.Duration) []Action { return c.task.dropCall(now, c) })
}
