package admission

// Verdict is the result of Controller.Offer.
type Verdict uint8

// Verdicts.
const (
	Queued              Verdict = iota // the item is queued
	Evicted                            // the item is queued, and another one was removed from the full queue
	Overloaded                         // refused: the expected wait is too long, or the queue is full
	DeadlineUnreachable                // refused: the deadline cannot be met even without waiting
)
