// Kingcupknot-soak runs daemon processes, injects faults and prints a report
// for each seed.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/platform/soak"
	"github.com/kingcupknot/kingcupknot/program"
)

type options struct {
	Program       string        `long:"program" value-name:"FILE" default:"bin/kingcupknotd" description:"the daemon"`
	Folder        string        `long:"folder" value-name:"FOLDER" default:"run/soak" description:"where settings, data and logs go"`
	Seeds         int           `long:"seeds" default:"3" description:"how many seeds to run"`
	SeedBase      uint64        `long:"seed-base" default:"1" description:"the first seed"`
	FaultDuration time.Duration `long:"length" default:"12s" description:"time with faults for each seed"`
	Control       int           `long:"control" default:"3" description:"control processes"`
	Entries       int           `long:"entries" default:"6" description:"entry processes"`
	Callers       int           `long:"callers" default:"24" description:"callers"`
	Parallel      int           `long:"lanes" default:"1" description:"seeds that run side by side"`
}

func main() {
	var o options
	program.Main("kingcupknot-soak", &o, func() error { return run(o) })
}

func run(o options) error {
	seeds := make(chan uint64)
	go func() {
		defer close(seeds)
		for n := range o.Seeds {
			seeds <- o.SeedBase + uint64(n)
		}
	}()
	var runners sync.WaitGroup
	var mutex sync.Mutex
	failed := 0
	total := map[string]int{}
	for range o.Parallel {
		runners.Add(1)
		go func() {
			defer runners.Done()
			for seed := range seeds {
				failures := runSeed(o, seed, &mutex, total)
				mutex.Lock()
				failed += failures
				mutex.Unlock()
			}
		}()
	}
	runners.Wait()
	text, err := json.Marshal(total)
	if err != nil {
		return errors.Trace(err)
	}
	fmt.Printf("%d seeds, %d failed; faults caused: %s\n", o.Seeds, failed, text)
	if failed > 0 {
		return errors.Errorf("%d of %d seeds failed", failed, o.Seeds)
	}
	return nil
}

// runSeed runs one seed, prints its report and adds its faults to total. It
// returns 1 if the seed failed, 0 otherwise. It keeps the logs of a failed seed.
// mutex guards total and the output.
func runSeed(o options, seed uint64, mutex *sync.Mutex, total map[string]int) int {
	folder, err := filepath.Abs(filepath.Join(o.Folder, fmt.Sprint(seed)))
	if err == nil {
		err = os.RemoveAll(folder)
	}
	var report *soak.Report
	if err == nil {
		report, err = soak.Run(soak.Options{
			Program: o.Program, Folder: folder, Seed: seed, FaultDuration: o.FaultDuration,
			Control: o.Control, Entries: o.Entries, Callers: o.Callers,
		})
	}
	mutex.Lock()
	defer mutex.Unlock()
	if err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
		return 1
	}
	for name, n := range report.Faults {
		total[name] += n
	}
	text, err := json.Marshal(report)
	if err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
		return 1
	}
	fmt.Println(string(text))
	if len(report.Violations) > 0 {
		fmt.Printf("seed %d failed; logs in %s; again: bin/kingcupknot-soak --seeds 1 --seed-base %d --length %s\n", seed, filepath.Join(o.Folder, fmt.Sprint(seed)), seed, o.FaultDuration)
		return 1
	}
	if err := os.RemoveAll(folder); err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
	}
	return 0
}
