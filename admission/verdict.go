package admission

// Verdict is what became of an offered item.
type Verdict uint8

// Verdicts.
const (
	Queued              Verdict = iota // it waits for its turn
	Evicted                            // it waits, and another item lost its place
	Overloaded                         // refused: its turn would come too late, or the queue is full
	DeadlineUnreachable                // refused: its deadline cannot be met even without waiting
)
