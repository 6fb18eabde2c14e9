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
	// queueLength is the number of lines that can wait for the writing goroutine.
	queueLength = 2048
	// ordinaryPerSecond and failuresPerSecond limit the lines up to level Info and
	// of higher levels. Bursts of twice the number are allowed.
	ordinaryPerSecond = 60
	failuresPerSecond = 200
	// reportInterval is the time between log lines with the number of dropped lines.
	reportInterval    = 5 * time.Second
	outputBufferBytes = 16 << 10
)

// Log is a destination of log lines. Its methods but Close are safe for concurrent
// use.
type Log struct {
	lines    chan []byte
	ordinary *rate.Limiter
	failures *rate.Limiter
	dropped  atomic.Int64
	closing  chan struct{}
	done     chan struct{}
}

// New returns a log that writes to w until Close. Errors of w are ignored, since
// there is nowhere to report them.
func New(w io.Writer) *Log {
	l := &Log{lines: make(chan []byte, queueLength), closing: make(chan struct{}), done: make(chan struct{}),
		ordinary: rate.NewLimiter(ordinaryPerSecond, 2*ordinaryPerSecond),
		failures: rate.NewLimiter(failuresPerSecond, 2*failuresPerSecond)}
	go l.write(bufio.NewWriterSize(w, outputBufferBytes))
	return l
}

// Logger returns a logger that writes lines of at least the given level to the log,
// as JSON.
func (l *Log) Logger(level slog.Leveler) *slog.Logger {
	return slog.New(&handler{Handler: slog.NewJSONHandler(lineWriter{l}, &slog.HandlerOptions{Level: level}), log: l})
}

// Close writes the queued lines and stops the log. Later lines are dropped: a request that
// is cut at the end of a stop may still log. It may be called once.
func (l *Log) Close() {
	close(l.closing)
	<-l.done
}

// Dropped returns the number of lines dropped so far, because of a rate limit or a
// full queue.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

func (l *Log) write(w *bufio.Writer) {
	defer close(l.done)
	direct := slog.New(slog.NewJSONHandler(w, nil))
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	reported := int64(0)
	for {
		select {
		case line := <-l.lines:
			_, _ = w.Write(line)
			if len(l.lines) == 0 {
				_ = w.Flush() // a failing log has nowhere to report
			}
		case <-l.closing:
			for len(l.lines) > 0 {
				_, _ = w.Write(<-l.lines)
			}
			_ = w.Flush()
			return
		case <-ticker.C:
			if n := l.dropped.Load(); n != reported {
				direct.Warn("log lines dropped", "count", n-reported)
				reported = n
				_ = w.Flush()
			}
		}
	}
}

// handler applies the rate limits of a Log.
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
		h.log.dropped.Add(1)
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

// lineWriter queues one line per Write. The handlers of slog write each line with one
// call.
type lineWriter struct{ log *Log }

// Write implements io.Writer. It drops the line instead of blocking if the queue is
// full.
func (w lineWriter) Write(line []byte) (int, error) {
	select {
	case w.log.lines <- append([]byte(nil), line...):
	default:
		w.log.dropped.Add(1)
	}
	return len(line), nil
}
