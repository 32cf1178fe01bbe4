// Command standin-3 plays the cases of the third review: it starts the daemon's
// processes on loopback, with stand-ins of clients, instances and the platform, and
// checks one rule.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun reports that a case could not be set up.
var errNotRun = errors.New("the case could not run")

// world holds all parts of a case.
type world struct {
	record  *record
	fleet   *fleet
	group   *group
	trouble bool
	// withoutLoad is set if the case runs clients of its own.
	withoutLoad bool
}

// cases maps the names of the cases to their plays. A play returns an error that
// wraps errNotRun if it could not be set up, and records broken rules.
var cases = map[string]func(*world) error{
	"sync-retired":  playSyncRetired,
	"recover-dead":  playRecoverDead,
	"slow-platform": playSlowPlatform,
	"sync-elected":  playSyncElected,
}

// rounds is how often a case is played until its rule is broken, if more than once.
var rounds = map[string]int{"sync-elected": 4}

func main() {
	name := flag.String("case", "", "the case to play")
	folder := flag.String("record", ".", "the folder of record.txt")
	flag.Parse()
	os.Exit(run(*name, *folder))
}

func run(name, folder string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "there is no such case")
		return exitNotRun
	}
	rec, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, trouble %v", name, trouble)
	for round := 0; round == 0 || trouble && round < rounds[name] && rec.brokenCount() == 0; round++ {
		if err := playOnce(play, rec, trouble); err != nil {
			rec.printf("not run: %v", err)
			return exitNotRun
		}
	}
	if n := rec.brokenCount(); n > 0 {
		rec.printf("the rule was broken %d times", n)
		return exitBroken
	}
	rec.printf("the rule held")
	return exitHeld
}

// playOnce plays a case with a deployment of its own.
func playOnce(play func(*world) error, rec *record, trouble bool) error {
	f, err := newFleet(rec)
	if err != nil {
		return err
	}
	defer f.stop()
	return play(&world{record: rec, trouble: trouble, fleet: f, group: newGroup(rec)})
}

// waitFor polls a condition until it holds or the time is over.
func waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
