package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration bounds a case, so that it ends within 120 s.
const maxDuration = 110 * time.Second

// errBroken reports that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// cases holds the cases by name. A case does what it does also without trouble,
// except for the disruption itself.
var cases = map[string]func(d *deployment, trouble bool) error{}

func main() {
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "target/kingcupknotd", "the daemon, as the deploy file builds it")
	record := flag.String("record", "record.txt", "the file that gets what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *program, *record, os.Getenv("TROUBLE") != "0"))
}

func play(name, program, recordFile string, trouble bool) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return exitNotRun
	}
	r, err := newRecorder(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	folder, err := os.MkdirTemp("", "kingcupknot-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if program, err = filepath.Abs(program); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	d, err := newDeployment(program, folder, r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.stop()
	result := make(chan error, 1)
	go func() { result <- run(d, trouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-result:
	case <-time.After(maxDuration):
		err = errors.New("the case took too long")
	case <-signals:
		err = errors.New("the case was interrupted")
	}
	switch {
	case err == nil:
		r.add("result", "the rule held, trouble %v", trouble)
		fmt.Println("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		r.add("result", "%v, trouble %v", err, trouble)
		fmt.Println(err)
		return exitBroken
	default:
		r.add("result", "the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
}
