package commands

import (
	"fmt"
	"sort"

	"github.com/jessevdk/go-flags"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/settings"
)

func init() {
	register("config show", "Show the services in force, or what settings files say at a site",
		func(cli *CLI) flags.Commander { return &configShow{cli: cli} })
}

type configShow struct {
	cli      *CLI
	Config   string         `long:"config" value-name:"FILE" description:"show this base file; without it, the services in force"`
	Overlays []string       `long:"overlay" value-name:"FILE" description:"overlay of a site; may be repeated"`
	Site     catalog.SiteID `long:"site" description:"show the overlay of this site"`
}

// Execute prints the keys of the given files with their values and origins, or
// the services in force if no base file is given.
func (c *configShow) Execute([]string) error {
	if c.Config == "" {
		if c.Site != "" || len(c.Overlays) > 0 {
			return usageError("site and overlay need config")
		}
		// Only the JSON output shows the document.
		query := &node.SettingsQuery{Document: c.cli.Options.JSON}
		return c.cli.send(node.Command{Settings: query}, func(r node.Reply) {
			fmt.Fprintf(c.cli.Stdout, "version %d\n", r.Version)
			c.cli.showServiceLimits(r.Services)
		})
	}
	s, err := c.loadSite()
	if err != nil {
		return err
	}
	c.cli.showOrigins(s.Origins)
	return nil
}

// loadSite loads the settings of the site that the options select.
func (c *configShow) loadSite() (*settings.Settings, error) {
	if len(c.Overlays) == 0 && c.Site == "" {
		return c.cli.loadSettings(c.Config, "")
	}
	if len(c.Overlays) > 1 && c.Site == "" {
		return nil, usageError("site is needed to choose among the overlays")
	}
	for _, o := range c.Overlays {
		s, err := c.cli.loadSettings(c.Config, o)
		if err != nil {
			return nil, err
		}
		if c.Site == "" || s.Site == c.Site {
			return s, nil
		}
	}
	return nil, &Failure{
		Exit: ExitNotFound,
		Text: fmt.Sprintf("no overlay is for site %q", c.Site),
		Next: "name the site's file with --overlay",
	}
}

// loadSettings loads settings. If there are findings, it prints them and returns
// an error.
func (cli *CLI) loadSettings(base, overlay string) (*settings.Settings, error) {
	s, found := settings.Load(base, overlay)
	if len(found) > 0 {
		return nil, cli.showFindings(found)
	}
	return s, nil
}

func (cli *CLI) showOrigins(origins map[string]settings.Origin) {
	if cli.Options.JSON {
		cli.printJSON(origins)
		return
	}
	keys := make([]string, 0, len(origins))
	for k := range origins {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	t := newTable(cli.Stdout, "KEY", "FROM", "VALUE")
	for _, k := range keys {
		o := origins[k]
		from := o.File
		if o.Line > 0 {
			from = fmt.Sprintf("%s:%d", o.File, o.Line)
		}
		t.addRow(k, from, o.Text)
	}
	t.flush()
}

func (cli *CLI) showServiceLimits(services []catalog.Service) {
	t := newTable(cli.Stdout, "SERVICE", "ACK", "INSTANCES", "CONNECTIONS", "RESERVED", "SLOTS", "LOCAL-SHARE")
	for _, v := range services {
		l := v.Limits
		t.addRow(v.ID, v.Ack, v.Instances, l.Connections, l.Reserved, l.Slots, l.LocalShare)
	}
	t.flush()
}
