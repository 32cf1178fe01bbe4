package commands

import (
	"sort"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"
)

// command is a registered command.
type command struct {
	// path is the group and the name, such as "config check", or only a name.
	path    string
	summary string
	build   func(*CLI) flags.Commander
}

var registry []command

// groups maps the first words of two-word commands to their descriptions.
var groups = map[string]string{
	"config":   "Check, show and change the settings",
	"service":  "List, create and remove services",
	"site":     "Look at the sites",
	"upstream": "List and drain upstreams",
	"primary":  "Change the primary of a service",
	"control":  "List and replace control VMs",
	"session":  "Look into sessions",
	"lease":    "List the leases on primaries",
	"route":    "List the names that callers use",
}

// register adds a command to the registry. The init function of each command's
// file calls it.
func register(path, summary string, build func(*CLI) flags.Commander) {
	registry = append(registry, command{path: path, summary: summary, build: build})
}

// addCommands adds all registered commands to a parser, in alphabetical order.
func addCommands(p *flags.Parser, cli *CLI) error {
	sorted := append([]command{}, registry...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].path < sorted[j].path })
	for _, c := range sorted {
		parent := p.Command
		group, name, hasGroup := strings.Cut(c.path, " ")
		if !hasGroup {
			name = group
		} else if parent = p.Find(group); parent == nil {
			var err error
			if parent, err = p.AddCommand(group, groups[group], "", &struct{}{}); err != nil {
				return errors.Trace(err)
			}
		}
		if _, err := parent.AddCommand(name, c.summary, "", c.build(cli)); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
