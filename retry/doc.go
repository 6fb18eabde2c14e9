// Package retry decides whether a request may be sent again. It holds the budgets
// of retries and hedged requests, the learned straggler threshold, and the rules
// that protect non-idempotent requests. Its types read no clock and do no I/O.
package retry
