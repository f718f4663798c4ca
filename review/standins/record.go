package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes record.txt: one line for each thing that was sent, answered or run, with the time since the start.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	startAt time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, startAt: time.Now()}, nil
}

func (r *record) at(t time.Time) string {
	return fmt.Sprintf("%8.3f", t.Sub(r.startAt).Seconds())
}

func (r *record) add(format string, args ...any) time.Time {
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%s %s\n", r.at(now), fmt.Sprintf(format, args...))
	return now
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}
