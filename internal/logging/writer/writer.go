// Package writer writes log lines in the background, so that no request waits for the log's output. A line that
// does not fit in the buffer is dropped and counted, and the count is logged before the next line that is written.
// So the log's volume is bounded by the speed of its output, and by a rate limit if one is set.
package writer

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferedLines is how many lines can wait for the output.
	bufferedLines = 512
)

type (
	// Config holds what a Writer needs.
	Config struct {
		Output io.Writer
		// LinesPerSecond limits the rate of lines that are written; zero means no limit.
		LinesPerSecond int
	}

	// Writer writes lines in the background. It is safe for concurrent use.
	Writer struct {
		config  Config
		lines   chan []byte
		dropped atomic.Uint64
		// closing is closed when Close is called; closed is closed when the buffered lines are written after that.
		closing chan struct{}
		closed  chan struct{}
		once    sync.Once
	}
)

// New returns a Writer that runs until it is closed.
func New(c Config) *Writer {
	w := &Writer{
		config: c, lines: make(chan []byte, bufferedLines),
		closing: make(chan struct{}), closed: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues one line, or drops it if the buffer is full. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case <-w.closing:
		w.dropped.Add(1)
		return len(line), nil
	default:
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// DroppedLines returns how many lines were dropped since the count was last logged.
func (w *Writer) DroppedLines() uint64 {
	return w.dropped.Load()
}

// Close writes the buffered lines and stops the Writer. Later lines are dropped.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.closing) })
	<-w.closed
}

func (w *Writer) run() {
	defer close(w.closed)
	tokens, refilledAt := float64(w.config.LinesPerSecond), time.Now()
	for {
		line, ok := w.nextLine()
		if !ok {
			return
		}
		if limit := float64(w.config.LinesPerSecond); limit > 0 {
			now := time.Now()
			tokens = min(limit, tokens+now.Sub(refilledAt).Seconds()*limit)
			refilledAt = now
			if tokens < 1 {
				w.dropped.Add(1)
				continue
			}
			tokens--
		}
		w.write(line)
	}
}

// nextLine waits for a line. After Close it returns the lines that are still buffered, then false.
func (w *Writer) nextLine() ([]byte, bool) {
	select {
	case line := <-w.lines:
		return line, true
	case <-w.closing:
	}
	select {
	case line := <-w.lines:
		return line, true
	default:
		return nil, false
	}
}

func (w *Writer) write(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.config.Output, "level=WARN msg=\"log lines dropped\" count=%d\n", n)
	}
	// An error is ignored, because there is nowhere to report that the log itself can't be written.
	_, _ = w.config.Output.Write(line)
}
