package writer_test

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/logging/writer"
)

// blockableOutput is an output whose writes block while gate is locked.
type blockableOutput struct {
	gate  sync.Mutex
	mutex sync.Mutex
	bytes bytes.Buffer
}

func (o *blockableOutput) Write(p []byte) (int, error) {
	o.gate.Lock()
	defer o.gate.Unlock()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.bytes.Write(p)
}

// Guards against requests that hang because the log's output blocks, and against lines that are lost uncounted.
func TestWriteDoesNotBlockOnBlockedOutput(t *testing.T) {
	is := is.New(t)
	o := &blockableOutput{}
	w := writer.New(writer.Config{Output: o})
	o.gate.Lock()
	startedAt := time.Now()
	for i := range 2000 {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		is.NoErr(err)
	}
	is.True(time.Since(startedAt) < time.Second)
	o.gate.Unlock()
	w.Close()
	_, err := fmt.Fprintln(w, "line after the end") // goroutines may still log after Close
	is.NoErr(err)
	text := o.bytes.String()
	is.True(strings.Contains(text, "line 0\n"))
	written, counted := strings.Count(text, "line "), 0
	for line := range strings.Lines(text) {
		if _, count, ok := strings.Cut(line, `msg="log lines dropped" count=`); ok {
			n, err := strconv.Atoi(strings.TrimSpace(count))
			is.NoErr(err)
			counted += n
		}
	}
	is.True(written <= 600)                                 // at most the buffer and what the output accepted
	is.Equal(written+counted+int(w.DroppedLines()), 2000+1) // every line is either written or counted as dropped
}

func TestLinesPerSecondBoundsOutput(t *testing.T) {
	is := is.New(t)
	o := &blockableOutput{}
	w := writer.New(writer.Config{Output: o, LinesPerSecond: 50})
	for i := range 400 {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		is.NoErr(err)
	}
	w.Close()
	is.True(strings.Count(o.bytes.String(), "line ") <= 60)
}
