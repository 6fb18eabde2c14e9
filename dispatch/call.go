package dispatch

import "time"

// Call is a request handler's end of the exchange with a Task. It is used by
// one goroutine, except Actions.
type Call struct {
	task    *Task
	id      RequestID
	actions chan Action
}

// Actions delivers what the handler has to do.
func (c *Call) Actions() <-chan Action { return c.actions }

// Done is closed when the task has ended. Nothing is decided any more: actions
// that were delivered before can still be read from Actions, and events that
// the handler reports have no effect. The handler must then end the attempts
// that it started itself. Done is not closed by the end of the request.
func (c *Call) Done() <-chan struct{} { return c.task.done }

// Answered reports the head of an attempt's answer.
func (c *Call) Answered(id AttemptID, a Answer) {
	c.task.post(func(now time.Duration) []Action { return c.task.options.Scheduler.Answered(now, id, a) })
}

// Ended reports the end of an attempt.
func (c *Call) Ended(id AttemptID, e End) {
	c.task.post(func(now time.Duration) []Action { return c.task.options.Scheduler.Ended(now, id, e) })
}

// Close says that the handler reads no more actions. Attempts in flight must
// still be ended with Ended. Attempts whose ActionSend was not read were never
// started; the task ends them.
func (c *Call) Close() {
	c.task.post(func(now time.Duration) []Action { return c.task.dropCall(now, c) })
}
