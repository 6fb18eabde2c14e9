package caller

import "sync"

const (
	// requestsPerRetry is the number of requests that earn one retry.
	requestsPerRetry = 10
	// maxSavedRetries limits the retries that can be saved, so that a long time with
	// few failures does not allow a retry storm.
	maxSavedRetries = 10
)

// retryBudget limits retries to one per requestsPerRetry requests. A new client
// starts with the credit of one retry. It is safe for concurrent use.
type retryBudget struct {
	mu sync.Mutex
	// credit is the saved retries, in units of 1/requestsPerRetry.
	credit int
}

// deposit adds the credit of one request.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+1, maxSavedRetries*requestsPerRetry)
}

// withdraw takes the credit of one retry. It returns false if there is not enough.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < requestsPerRetry {
		return false
	}
	b.credit -= requestsPerRetry
	return true
}
