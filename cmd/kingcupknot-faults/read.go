package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// readReply decodes the output of kingcupknot --json.
func readReply(r io.Reader) (node.Reply, error) {
	var out node.Reply
	if err := json.NewDecoder(r).Decode(&out); err != nil {
		return out, errors.Annotate(err, "read the reply")
	}
	return out, nil
}

// readStatus decodes the output of kingcupknot --json status from standard
// input.
func readStatus() (*node.Status, error) {
	r, err := readReply(os.Stdin)
	if err != nil {
		return nil, err
	}
	if r.Status == nil {
		return nil, errors.New("the reply has no status")
	}
	return r.Status, nil
}

func printLeader([]string) error {
	s, err := readStatus()
	if err != nil {
		return err
	}
	if s.Leader == "" {
		return errors.New("there is no leader")
	}
	fmt.Println(s.Leader)
	return nil
}

func printVersion([]string) error {
	s, err := readStatus()
	if err != nil {
		return err
	}
	fmt.Println(s.Version)
	return nil
}

func printPrimary(args []string) error {
	s, err := readStatus()
	if err != nil {
		return err
	}
	for _, v := range s.Services {
		if v.Service.ID == catalog.ServiceID(args[0]) && v.Primary.Ready && v.Phase == "" {
			fmt.Println(v.Primary.Instance)
			return nil
		}
	}
	return errors.New("there is no ready primary")
}

func checkCaughtUp(args []string) error {
	s, err := readStatus()
	if err != nil {
		return err
	}
	for _, m := range s.Members {
		if m.VM == catalog.VMID(args[0]) && m.Voter && m.Reachable && m.CaughtUp {
			return nil
		}
	}
	return errors.Errorf("%s is no caught-up voter", args[0])
}

// checkSettled returns an error unless all members are reachable voters that
// have caught up, the services named have a ready primary, and all entries have
// the current version. It skips other services: scripts create them only to
// change the configuration, so they have no upstreams.
func checkSettled(args []string) error {
	s, err := readStatus()
	if err != nil {
		return err
	}
	for _, m := range s.Members {
		if !m.Voter || !m.Reachable || !m.CaughtUp {
			return errors.Errorf("%s is no caught-up voter", m.VM)
		}
	}
	for _, v := range s.Services {
		if slices.Contains(args, string(v.Service.ID)) && (!v.Primary.Ready || v.Phase != "") {
			return errors.Errorf("%s has no ready primary", v.Service.ID)
		}
	}
	for _, e := range s.Entries {
		if e.Settings != s.Version {
			return errors.Errorf("%s has version %d, not %d", e.VM, e.Settings, s.Version)
		}
	}
	if len(s.Entries) == 0 || len(s.Services) == 0 {
		return errors.New("there are no entries or services yet")
	}
	return nil
}

// checkHistory reads the history of changes from standard input and checks that
// it contains each change named by the arguments exactly once.
func checkHistory(args []string) error {
	r, err := readReply(os.Stdin)
	if err != nil {
		return err
	}
	if err := checkOnce(r.History, args); err != nil {
		return err
	}
	fmt.Printf("%d changes, %d of them asked for, each once\n", len(r.History), len(args))
	return nil
}

// checkOnce returns a violation unless each change asked for is in the history
// exactly once and no two changes have the same version.
func checkOnce(history []node.Change, requested []string) error {
	counts := map[catalog.ChangeID]int{}
	versions := map[catalog.Version]bool{}
	for _, c := range history {
		counts[c.Change]++
		if versions[c.Version] {
			return violationf("version %d was given twice", c.Version)
		}
		versions[c.Version] = true
	}
	for _, id := range requested {
		if n := counts[catalog.ChangeID(id)]; n != 1 {
			return violationf("change %s is there %d times", id, n)
		}
	}
	return nil
}
