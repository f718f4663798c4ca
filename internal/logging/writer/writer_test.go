package writer_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/logging/writer"
)

// output is an output that can be made to block.
type output struct {
	gate  sync.Mutex
	mutex sync.Mutex
	bytes bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.gate.Lock()
	defer o.gate.Unlock()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.bytes.Write(p)
}

func TestAnOutputThatBlocksHoldsNobody(t *testing.T) {
	is := is.New(t)
	o := &output{}
	w := writer.New(writer.Config{Output: o})
	o.gate.Lock()
	startedAt := time.Now()
	for i := range 2000 {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		is.NoErr(err)
	}
	is.True(time.Since(startedAt) < time.Second)
	is.True(w.Dropped() > 1000)
	o.gate.Unlock()
	w.Close()
	text := o.bytes.String()
	is.True(strings.Contains(text, "line 0\n"))
	is.True(strings.Contains(text, `msg="log lines dropped" count=`))
}

func TestTheVolumeIsBounded(t *testing.T) {
	is := is.New(t)
	o := &output{}
	w := writer.New(writer.Config{Output: o, LinesPerSecond: 50})
	for i := range 400 {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		is.NoErr(err)
	}
	w.Close()
	is.True(strings.Count(o.bytes.String(), "line ") <= 60)
}
