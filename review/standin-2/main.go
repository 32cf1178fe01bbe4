// The stand-ins of the second review, and its scripts: each plays one case against
// the project's own daemon on loopback addresses.
package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// recorder writes the record of a case.
type recorder struct {
	mutex   sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, out: bufio.NewWriter(f), started: time.Now()}, nil
}

func (r *recorder) printf(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *recorder) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *recorder) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err := r.out.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	_ = r.file.Close()
}

// cases holds the scripts by name. Each returns an exit code.
var cases = map[string]func(f *fleet, trouble string) int{
	"recover":   playRecover,
	"dark":      playDark,
	"bootstrap": playBootstrap,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE DAEMON RECORD")
		return exitFailed
	}
	record, err := newRecorder(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Println(folder)
	}
	daemon, err := filepath.Abs(os.Args[2])
	if err != nil {
		return exitFailed
	}
	f, err := newFleet(daemon, folder, record)
	if err != nil {
		record.say("the case could not start: %v", err)
		return exitFailed
	}
	defer f.close()
	if err := f.start(); err != nil {
		record.say("the case could not start: %v", err)
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE")
	if trouble == "" {
		trouble = "1"
	}
	return cases[os.Args[1]](f, trouble)
}
