package main

import (
	"encoding/json"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/capacity"
)

// scarcityCommand plays the scarcity model and prints a JSON line for each kind of
// reads at each site, and one for all.
type scarcityCommand struct {
	Entries     []int         `long:"entries" description:"Entries of a site; may be given several times (default: 3, 2, 1)."`
	Slots       int           `long:"slots" default:"3" description:"Statements that the primary runs at a time."`
	Load        []float64     `long:"load" description:"Offered work in capacities of the primary; may be given several times (default: 1, 1.7, 2.5)."`
	LostPercent int           `long:"lost-percent" description:"Answers that the primary loses."`
	Length      time.Duration `long:"length" default:"20s" description:"Length of the overload."`
	Seeds       uint64        `long:"seeds" default:"1" description:"Plays of each load."`
}

// scarcityLine is a row of the result of one play. Site is empty in the line of
// all sites and kinds.
type scarcityLine struct {
	Load        float64 `json:"load"`
	Seed        uint64  `json:"seed"`
	Site        *int    `json:"site,omitempty"`
	Database    string  `json:"database,omitempty"`
	Offered     int     `json:"offered"`
	InTime      int     `json:"in-time"`
	RefusedSoon int     `json:"refused-soon"`
	BestInTime  int     `json:"best-in-time,omitempty"`
}

// Execute implements flags.Commander.
func (c *scarcityCommand) Execute([]string) error {
	if len(c.Entries) == 0 {
		c.Entries = []int{3, 2, 1}
	}
	if len(c.Load) == 0 {
		c.Load = []float64{1, 1.7, 2.5}
	}
	if err := c.check(); err != nil {
		return err
	}
	out := json.NewEncoder(os.Stdout)
	for _, load := range c.Load {
		for seed := range c.Seeds {
			s := capacity.PlayScarcity(capacity.ScarcityLoad{
				EntriesPerSite: c.Entries, Slots: c.Slots, Load: load, Kinds: capacity.DefaultScarcityKinds(),
				LostPercent: c.LostPercent, Length: c.Length, Seed: seed,
			})
			for _, r := range s.Rows {
				line := newScarcityLine(load, seed, r)
				line.Site = &r.Site
				if err := out.Encode(line); err != nil {
					return errors.Trace(err)
				}
			}
			line := newScarcityLine(load, seed, s.Total())
			line.BestInTime = s.BestInTime
			if err := out.Encode(line); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}

func (c *scarcityCommand) check() error {
	for _, n := range c.Entries {
		if n < 1 {
			return errors.NotValidf("--entries %d", n)
		}
	}
	for _, load := range c.Load {
		if load <= 0 {
			return errors.NotValidf("--load %g", load)
		}
	}
	if c.Slots < 1 || c.Length <= 0 || c.LostPercent < 0 || c.LostPercent > 100 {
		return errors.NotValidf("a play without slots or time, or with --lost-percent %d", c.LostPercent)
	}
	return nil
}

func newScarcityLine(load float64, seed uint64, r capacity.ScarcityRow) scarcityLine {
	return scarcityLine{Load: load, Seed: seed, Database: r.Database, Offered: r.Offered, InTime: r.InTime, RefusedSoon: r.RefusedSoon}
}
