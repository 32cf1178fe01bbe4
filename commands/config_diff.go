package commands

import (
	"fmt"
	"sort"

	"github.com/jessevdk/go-flags"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

func init() {
	register("config diff", "Compare a file's services with those in force", func(d *CLI) flags.Commander {
		return &configDiff{desk: d}
	})
}

type configDiff struct {
	desk *CLI
	Args struct {
		Base string `positional-arg-name:"BASE" required:"yes"`
	} `positional-args:"yes"`
}

// difference is one value that config apply would change. A service that is
// added or removed has no Key.
type difference struct {
	Service catalog.ServiceID `json:"service"`
	Key     string            `json:"key,omitempty"`
	InForce string            `json:"in-force,omitempty"`
	InFile  string            `json:"in-file,omitempty"`
}

// Execute prints what config apply would change.
func (c *configDiff) Execute([]string) error {
	s, err := c.desk.load(c.Args.Base, "")
	if err != nil {
		return err
	}
	r, err := c.desk.ask(node.Command{Settings: &node.SettingsQuery{}})
	if err != nil {
		return err
	}
	found := compare(r.Services, s.Services)
	if c.desk.Options.JSON {
		c.desk.printJSON(found)
		return nil
	}
	fmt.Fprintf(c.desk.Stdout, "version %d, %d differences\n", r.Version, len(found))
	for _, f := range found {
		fmt.Fprintln(c.desk.Stdout, f)
	}
	return nil
}

// String gives the difference as a line.
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

const present = "present"

func compare(force, file []catalog.Service) []difference {
	out := []difference{}
	old, fresh := byID(force), byID(file)
	for id, v := range fresh {
		if was, ok := old[id]; ok {
			out = append(out, compareService(was, v)...)
		} else {
			out = append(out, difference{Service: id, InFile: present})
		}
	}
	for id := range old {
		if _, ok := fresh[id]; !ok {
			out = append(out, difference{Service: id, InForce: present})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Service < out[j].Service })
	return out
}

func compareService(was, is catalog.Service) []difference {
	var out []difference
	add := func(key string, a, b any) {
		if a != b {
			out = append(out, difference{is.ID, key, fmt.Sprint(a), fmt.Sprint(b)})
		}
	}
	add("ack", was.Ack, is.Ack)
	add("instances", was.Instances, is.Instances)
	add("connections", was.Limits.Connections, is.Limits.Connections)
	add("reserved", was.Limits.Reserved, is.Limits.Reserved)
	add("slots", was.Limits.Slots, is.Limits.Slots)
	add("local-share", was.Limits.LocalShare, is.Limits.LocalShare)
	return out
}

func byID(list []catalog.Service) map[catalog.ServiceID]catalog.Service {
	out := map[catalog.ServiceID]catalog.Service{}
	for _, v := range list {
		out[v.ID] = v
	}
	return out
}
