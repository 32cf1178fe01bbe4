package commands

import (
	"sort"

	"github.com/jessevdk/go-flags"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

func init() {
	register("site list", "List the sites with their entries and upstreams", func(cli *CLI) flags.Commander {
		return &siteList{cli: cli}
	})
}

type siteList struct {
	cli *CLI
}

// siteCount holds the number of entries, upstreams and primaries at one site,
// according to the control leader.
type siteCount struct {
	Site      catalog.SiteID `json:"site"`
	Entries   int            `json:"entries"`
	Upstreams int            `json:"upstreams"`
	Primaries int            `json:"primaries"`
}

// Execute lists the sites with the number of entries, upstreams and primaries.
func (c *siteList) Execute([]string) error {
	r, err := c.cli.request(node.Command{Status: &node.StatusQuery{}})
	if err != nil {
		return err
	}
	if r.Status == nil {
		r.Status = &node.Status{}
	}
	sites := countSites(r.Status)
	if c.cli.Options.JSON {
		c.cli.printJSON(sites)
		return nil
	}
	t := newTable(c.cli.Stdout, "SITE", "ENTRIES", "UPSTREAMS", "PRIMARIES")
	for _, s := range sites {
		t.addRow(s.Site, s.Entries, s.Upstreams, s.Primaries)
	}
	t.flush()
	return nil
}

func countSites(s *node.Status) []siteCount {
	count := map[catalog.SiteID]*siteCount{}
	at := func(id catalog.SiteID) *siteCount {
		if count[id] == nil {
			count[id] = &siteCount{Site: id}
		}
		return count[id]
	}
	primary := map[catalog.InstanceID]bool{}
	for _, v := range s.Services {
		primary[v.Primary.Instance] = true
	}
	for _, e := range s.Entries {
		at(e.Site).Entries++
	}
	for _, u := range s.Upstreams {
		c := at(u.Announcement.Site)
		c.Upstreams++
		if primary[u.Announcement.Instance] {
			c.Primaries++
		}
	}
	out := make([]siteCount, 0, len(count))
	for _, c := range count {
		out = append(out, *c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Site < out[j].Site })
	return out
}
