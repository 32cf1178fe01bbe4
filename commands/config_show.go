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
		func(d *CLI) flags.Commander { return &configShow{desk: d} })
}

type configShow struct {
	desk     *CLI
	Config   string         `long:"config" value-name:"FILE" description:"show this base file; without it, the services in force"`
	Overlays []string       `long:"overlay" value-name:"FILE" description:"overlay of a site; may be repeated"`
	Site     catalog.SiteID `long:"site" description:"show the overlay of this site"`
}

// Execute shows every key with its value and where it came from.
func (c *configShow) Execute([]string) error {
	if c.Config == "" {
		if c.Site != "" || len(c.Overlays) > 0 {
			return usage("site and overlay need config")
		}
		return c.desk.send(node.Command{Settings: &node.SettingsQuery{}}, func(r node.Reply) {
			fmt.Fprintf(c.desk.Stdout, "version %d\n", r.Version)
			c.desk.showConfigured(r.Services)
		})
	}
	s, err := c.load()
	if err != nil {
		return err
	}
	c.desk.showOrigins(s.Origins)
	return nil
}

// load returns the settings of the wanted site.
func (c *configShow) load() (*settings.Settings, error) {
	if len(c.Overlays) == 0 && c.Site == "" {
		return c.desk.load(c.Config, "")
	}
	if len(c.Overlays) > 1 && c.Site == "" {
		return nil, usage("site is needed to choose among the overlays")
	}
	for _, o := range c.Overlays {
		s, err := c.desk.load(c.Config, o)
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

// load reads settings and shows their findings.
func (d *CLI) load(base, overlay string) (*settings.Settings, error) {
	s, found := settings.Load(base, overlay)
	if len(found) > 0 {
		return nil, d.showFindings(found)
	}
	return s, nil
}

func (d *CLI) showOrigins(origins map[string]settings.Origin) {
	if d.Options.JSON {
		d.printJSON(origins)
		return
	}
	keys := make([]string, 0, len(origins))
	for k := range origins {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	t := newSheet(d.Stdout, "KEY", "FROM", "VALUE")
	for _, k := range keys {
		o := origins[k]
		from := o.File
		if o.Line > 0 {
			from = fmt.Sprintf("%s:%d", o.File, o.Line)
		}
		t.row(k, from, o.Text)
	}
	t.end()
}

func (d *CLI) showConfigured(services []catalog.Service) {
	t := newSheet(d.Stdout, "SERVICE", "ACK", "INSTANCES", "CONNECTIONS", "RESERVED", "SLOTS", "LOCAL-SHARE")
	for _, v := range services {
		l := v.Limits
		t.row(v.ID, v.Ack, v.Instances, l.Connections, l.Reserved, l.Slots, l.LocalShare)
	}
	t.end()
}
