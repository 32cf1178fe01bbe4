package main

import (
	"encoding/json"
	"os"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/capacity"
)

// recoverCommand plays the recovery model and prints a JSON line for each play.
type recoverCommand struct {
	Entries   []int  `long:"entries" description:"Entries of the fleet; may be given several times (default: 23, 100, 300)."`
	Services  int    `long:"services" default:"20" description:"Services of the fleet."`
	Instances int    `long:"instances" default:"3" description:"Upstreams of each service."`
	Voters    int    `long:"voters" default:"5" description:"Control VMs."`
	Seeds     uint64 `long:"seeds" default:"3" description:"Plays of each size."`
}

// recoverLine is the result of one play. Times are in milliseconds.
type recoverLine struct {
	Entries         int    `json:"entries"`
	Seed            uint64 `json:"seed"`
	Leaders         int    `json:"leaders"`
	AfterReturnMS   int64  `json:"after-return-ms"`
	LeaseGapMS      int64  `json:"lease-gap-ms"`
	ControlMessages int    `json:"control-messages"`
}

// Execute implements flags.Commander.
func (c *recoverCommand) Execute([]string) error {
	if len(c.Entries) == 0 {
		c.Entries = []int{23, 100, 300}
	}
	if c.Services < 1 || c.Instances < 1 || c.Voters < 1 {
		return errors.NotValidf("a fleet without services, upstreams or control VMs")
	}
	out := json.NewEncoder(os.Stdout)
	for _, entries := range c.Entries {
		if entries < 1 {
			return errors.NotValidf("--entries %d", entries)
		}
		for seed := range c.Seeds {
			r, err := capacity.PlayRecovery(capacity.RecoveryLoad{
				Entries: entries, Services: c.Services, Instances: c.Instances, Voters: c.Voters, Seed: seed,
			})
			if err != nil {
				return errors.Trace(err)
			}
			err = out.Encode(recoverLine{
				Entries: entries, Seed: seed, Leaders: r.Leaders, AfterReturnMS: r.AfterReturn.Milliseconds(),
				LeaseGapMS: r.LeaseGap.Milliseconds(), ControlMessages: r.Messages,
			})
			if err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}
