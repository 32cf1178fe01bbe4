package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
	broken  int
}

func newRecord(folder string) (*record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &record{file: f, out: bufio.NewWriter(f), started: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// brokenRule records that a rule was broken.
func (r *record) brokenRule(format string, args ...any) {
	r.mutex.Lock()
	r.broken++
	r.mutex.Unlock()
	text := "BROKEN " + fmt.Sprintf(format, args...)
	r.printf("%s", text)
	fmt.Println(text)
}

func (r *record) brokenCount() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.broken
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err := r.out.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	r.file.Close()
}
