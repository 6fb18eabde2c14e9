package eventlog_test

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/eventlog"
)

// blocked is a writer whose Write blocks until release is closed.
type blocked struct{ release chan struct{} }

func (b *blocked) Write(p []byte) (int, error) { <-b.release; return len(p), nil }

// Guards against requests that wait because the log output is blocked.
func TestLoggingNeverBlocks(t *testing.T) {
	is := is.New(t)
	w := &blocked{release: make(chan struct{})}
	log := eventlog.New(w)
	logger := log.Logger(slog.LevelInfo)
	for range 100_000 { // the loop ends although nothing is written
		logger.Info("ordinary")
		logger.Warn("failure")
	}
	is.True(log.Dropped() > 0)
	close(w.release)
	log.Close()
}

// Guards against a flood of ordinary lines that displaces lines about failures.
func TestFailuresAreKeptInAFlood(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := eventlog.New(&out)
	logger := log.Logger(slog.LevelInfo)
	for range 10_000 {
		logger.Info("ordinary")
	}
	for range 100 {
		logger.Warn("failure", "id", "x")
	}
	log.Close()
	is.Equal(strings.Count(out.String(), `"msg":"failure"`), 100)
	is.True(strings.Count(out.String(), `"msg":"ordinary"`) < 1000) // the volume is bounded
	is.True(log.Dropped() > 9000)
}

// Guards against lines without the fields and groups of their logger.
func TestFieldsOfTheLoggerAreKept(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := eventlog.New(io.MultiWriter(&out))
	log.Logger(slog.LevelInfo).With("instance", "i-1").WithGroup("g").Info("line", "a", 1)
	log.Close()
	is.True(strings.Contains(out.String(), `"instance":"i-1","g":{"a":1}`))
}

// Guards against a line after Close that ends the process.
func TestLinesAfterCloseAreDropped(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := eventlog.New(&out)
	logger := l.Logger(slog.LevelInfo)
	logger.Info("before")
	l.Close()
	logger.Info("after")
	is.True(strings.Contains(out.String(), "before"))
	is.True(!strings.Contains(out.String(), "after"))
}
