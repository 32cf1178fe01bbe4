package commands

import (
	"fmt"
	"sort"

	"github.com/jessevdk/go-flags"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

func init() {
	register("config diff", "Compare a file's services with those in force", func(cli *CLI) flags.Commander {
		return &configDiff{cli: cli}
	})
}

type configDiff struct {
	cli  *CLI
	Args struct {
		Base string `positional-arg-name:"BASE" required:"yes"`
	} `positional-args:"yes"`
}

// difference is one value that config apply would change. Key is empty if the
// whole service would be added or removed.
type difference struct {
	Service catalog.ServiceID `json:"service"`
	Key     string            `json:"key,omitempty"`
	InForce string            `json:"in-force,omitempty"`
	InFile  string            `json:"in-file,omitempty"`
}

// Execute prints the changes that config apply would make.
func (c *configDiff) Execute([]string) error {
	s, err := c.cli.loadSettings(c.Args.Base, "")
	if err != nil {
		return err
	}
	r, err := c.cli.request(node.Command{Settings: &node.SettingsQuery{}})
	if err != nil {
		return err
	}
	found := compareServices(r.Services, s.Services)
	if c.cli.Options.JSON {
		c.cli.printJSON(found)
		return nil
	}
	fmt.Fprintf(c.cli.Stdout, "version %d, %d differences\n", r.Version, len(found))
	for _, f := range found {
		fmt.Fprintln(c.cli.Stdout, f)
	}
	return nil
}

// String returns the difference as a line: + for an added service, - for a
// removed one and ~ for a changed value.
func (f difference) String() string {
	switch {
	case f.Key != "":
		return fmt.Sprintf("~ %s.%s: %s -> %s", f.Service, f.Key, f.InForce, f.InFile)
	case f.InForce == "":
		return fmt.Sprintf("+ %s", f.Service)
	default:
		return fmt.Sprintf("- %s", f.Service)
	}
}

// present stands for a whole service that is only in force or only in the file.
const present = "present"

func compareServices(inForce, inFile []catalog.Service) []difference {
	out := []difference{}
	current, wanted := byID(inForce), byID(inFile)
	for id, v := range wanted {
		if old, ok := current[id]; ok {
			out = append(out, compareService(old, v)...)
		} else {
			out = append(out, difference{Service: id, InFile: present})
		}
	}
	for id := range current {
		if _, ok := wanted[id]; !ok {
			out = append(out, difference{Service: id, InForce: present})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Service < out[j].Service })
	return out
}

func compareService(old, updated catalog.Service) []difference {
	var out []difference
	add := func(key string, a, b any) {
		if a != b {
			out = append(out, difference{updated.ID, key, fmt.Sprint(a), fmt.Sprint(b)})
		}
	}
	add("ack", old.Ack, updated.Ack)
	add("instances", old.Instances, updated.Instances)
	add("connections", old.Limits.Connections, updated.Limits.Connections)
	add("reserved", old.Limits.Reserved, updated.Limits.Reserved)
	add("slots", old.Limits.Slots, updated.Limits.Slots)
	add("local-share", old.Limits.LocalShare, updated.Limits.LocalShare)
	return out
}

func byID(list []catalog.Service) map[catalog.ServiceID]catalog.Service {
	out := map[catalog.ServiceID]catalog.Service{}
	for _, v := range list {
		out[v.ID] = v
	}
	return out
}
