package cli

import (
	"fmt"
	"io"
	"time"
)

// progressInterval is the time before the first line of progress and between lines.
const progressInterval = 2 * time.Second

// startProgress writes the text to w as a line at each progressInterval until stop
// is called. Nothing is written after stop has returned. stop must be called once.
func startProgress(w io.Writer, text func() string) (stop func()) {
	ticker := time.NewTicker(progressInterval)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		runProgress(w, ticker.C, done, text)
	}()
	return func() {
		ticker.Stop()
		close(done)
		<-ended
	}
}

func runProgress(w io.Writer, ticks <-chan time.Time, done <-chan struct{}, text func() string) {
	for {
		select {
		case <-ticks:
			_, _ = fmt.Fprintln(w, text()) // progress is best effort
		case <-done:
			return
		}
	}
}
