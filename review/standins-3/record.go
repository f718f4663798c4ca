//go:build review3

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file record.txt of a case: what was sent, answered and run, one event a line. It is safe for
// concurrent use.
type record struct {
	mutex     sync.Mutex
	file      *os.File
	buffer    *bufio.Writer
	startedAt time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, buffer: bufio.NewWriter(f), startedAt: time.Now()}, nil
}

// add writes one event.
func (r *record) add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.buffer, "%8.3f s  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, values...))
}

// say writes one event and prints it.
func (r *record) say(format string, values ...any) {
	r.add(format, values...)
	fmt.Printf(format+"\n", values...)
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.buffer.Flush()
	_ = r.file.Close()
}
