package main

import (
	"encoding/json"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/capacity"
)

// fleetCommand plays the start of a fleet and prints what it costs control.
type fleetCommand struct {
	Entries   int           `long:"entries" default:"300" description:"Entries of the fleet."`
	Services  int           `long:"services" default:"1200" description:"Services of the fleet."`
	Instances int           `long:"instances" default:"3" description:"Upstreams of each service."`
	Routes    int           `long:"routes" default:"3152" description:"Routes of the configuration."`
	Controls  int           `long:"controls" default:"9" description:"Control VMs."`
	Voters    int           `long:"voters" default:"5" description:"Control VMs that vote."`
	Length    time.Duration `long:"length" default:"20s" description:"Length of the play; the configuration is changed every second from 8 s on."`
	Empty     bool          `long:"empty" description:"Start without upstreams and configuration; the first one comes after 2 s."`
	CPU       string        `long:"cpu" value-name:"FILE" description:"Write a processor profile of the play."`
	Heap      string        `long:"heap" value-name:"FILE" description:"Write a heap profile of the whole model."`
}

// Execute implements flags.Commander.
func (c *fleetCommand) Execute([]string) error {
	if c.Entries < 1 || c.Services < 1 || c.Instances < 1 || c.Routes < 1 || c.Voters < 1 || c.Controls < c.Voters {
		return errors.NotValidf("a fleet without entries, services, upstreams, routes or control VMs")
	}
	l := capacity.FleetLoad{
		RecoveryLoad: capacity.RecoveryLoad{Entries: c.Entries, Services: c.Services, Instances: c.Instances, Voters: c.Voters},
		Controls:     c.Controls, Routes: c.Routes, Length: c.Length, ConfigInterval: time.Second, StartsEmpty: c.Empty,
	}
	if c.Heap != "" {
		f, err := os.Create(c.Heap)
		if err != nil {
			return errors.Trace(err)
		}
		defer f.Close()
		l.HeapProfile = f
	}
	if c.CPU != "" {
		f, err := os.Create(c.CPU)
		if err != nil {
			return errors.Trace(err)
		}
		defer f.Close()
		l.ProcessorProfile = f
	}
	r, err := capacity.PlayFleet(l)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(json.NewEncoder(os.Stdout).Encode(r))
}
