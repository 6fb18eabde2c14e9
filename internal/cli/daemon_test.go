package cli

import (
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// stopRecorder receives the names of the called methods in order.
type stopRecorder chan string

func (s stopRecorder) Stop()    { s <- "stop" }
func (s stopRecorder) StopNow() { s <- "now" }

// Guards against a first signal that aborts requests and a second one that waits
// for them.
func TestSignals(t *testing.T) {
	is := is.New(t)
	signals, ended, calls := make(chan os.Signal, 2), make(chan struct{}), make(stopRecorder, 2)
	returned := make(chan struct{})
	go func() { handleStopSignals(signals, ended, calls); close(returned) }()
	signals <- syscall.SIGTERM
	is.Equal(<-calls, "stop")
	is.Equal(len(calls), 0)
	signals <- syscall.SIGTERM
	is.Equal(<-calls, "now")
	<-returned
	close(ended)
	handleStopSignals(signals, ended, calls) // returns when the instance has ended
	is.Equal(len(calls), 0)
}
