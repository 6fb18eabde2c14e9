package eventlog

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueLength bounds the lines that wait for the writer.
	queueLength = 2048
	// ordinaryPerSecond and failuresPerSecond bound the lines of level Info and
	// of higher levels; a burst of two seconds' lines may come at once.
	ordinaryPerSecond = 60
	failuresPerSecond = 200
	// reportInterval is how often left out lines are reported.
	reportInterval = 5 * time.Second
	// bufferBytes is the size of the output buffer.
	bufferBytes = 16 << 10
)

// Log is a destination of log lines.
type Log struct {
	lines    chan []byte
	ordinary *rate.Limiter
	failures *rate.Limiter
	leftOut  atomic.Int64
	done     chan struct{}
}

// New starts a log that writes to w until Close.
func New(w io.Writer) *Log {
	l := &Log{lines: make(chan []byte, queueLength), done: make(chan struct{}),
		ordinary: rate.NewLimiter(ordinaryPerSecond, 2*ordinaryPerSecond),
		failures: rate.NewLimiter(failuresPerSecond, 2*failuresPerSecond)}
	go l.write(bufio.NewWriterSize(w, bufferBytes))
	return l
}

// Logger returns a logger that writes JSON lines to the log.
func (l *Log) Logger(level slog.Leveler) *slog.Logger {
	return slog.New(&handler{Handler: slog.NewJSONHandler(lineWriter{l}, &slog.HandlerOptions{Level: level}), log: l})
}

// Close writes the lines that wait and ends the log. No line may be logged afterwards.
func (l *Log) Close() {
	close(l.lines)
	<-l.done
}

// Dropped returns the number of lines that were not written.
func (l *Log) Dropped() int64 { return l.leftOut.Load() }

func (l *Log) write(w *bufio.Writer) {
	defer close(l.done)
	own := slog.New(slog.NewJSONHandler(w, nil))
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	reported := int64(0)
	for {
		select {
		case line, open := <-l.lines:
			if !open {
				_ = w.Flush() // there is nowhere to report a failing log
				return
			}
			_, _ = w.Write(line)
			if len(l.lines) == 0 {
				_ = w.Flush()
			}
		case <-ticker.C:
			if n := l.leftOut.Load(); n != reported {
				own.Warn("log lines left out", "count", n-reported)
				reported = n
				_ = w.Flush()
			}
		}
	}
}

// handler applies the rate limits.
type handler struct {
	slog.Handler
	log *Log
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	limiter := h.log.ordinary
	if r.Level > slog.LevelInfo {
		limiter = h.log.failures
	}
	if !limiter.Allow() {
		h.log.leftOut.Add(1)
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{Handler: h.Handler.WithAttrs(attrs), log: h.log}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{Handler: h.Handler.WithGroup(name), log: h.log}
}

// lineWriter queues one line per Write, as slog's handlers call it.
type lineWriter struct{ log *Log }

// Write implements io.Writer and never blocks.
func (w lineWriter) Write(line []byte) (int, error) {
	select {
	case w.log.lines <- append([]byte(nil), line...):
	default:
		w.log.leftOut.Add(1)
	}
	return len(line), nil
}
