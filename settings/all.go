package settings

import (
	"os"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// LoadAll reads a base file with the overlays of several sites and also checks
// the overlays for conflicts with each other. Without overlays it reads only
// the base file. The settings are in the order of the overlays. They are nil
// if there is any finding.
func LoadAll(base string, overlays []string) ([]*Settings, Findings) {
	return Loader{ReadFile: os.ReadFile, Getenv: os.Getenv}.LoadAll(base, overlays)
}

// LoadAll is like the function LoadAll, but reads files and environment
// through l.
func (l Loader) LoadAll(base string, overlays []string) ([]*Settings, Findings) {
	if len(overlays) == 0 {
		overlays = []string{""}
	}
	var all []*Settings
	var findings Findings
	seen := map[Finding]bool{}
	for _, o := range overlays {
		s, found := l.Load(base, o)
		for _, f := range found {
			if !seen[f] {
				findings = append(findings, f)
			}
			seen[f] = true
		}
		all = append(all, s)
	}
	if len(findings) == 0 {
		findings = findSiteConflicts(all)
	}
	if len(findings) > 0 {
		findings.sort()
		return nil, findings
	}
	return all, nil
}

// findSiteConflicts reports conflicts between the settings of several sites:
// two overlays of one site, and names or addresses of VMs that two sites use.
func findSiteConflicts(all []*Settings) Findings {
	var out Findings
	sites := map[catalog.SiteID]string{}
	names := map[catalog.VMID]catalog.SiteID{}
	addresses := map[string]string{}
	for _, s := range all {
		from := s.Origins["site"]
		if other, ok := sites[s.Site]; ok {
			out = append(out, from.finding("site", "site has another overlay too: "+other))
			continue
		}
		sites[s.Site] = from.File
		for _, v := range s.VMs {
			if v.Site != s.Site {
				continue
			}
			key := "vm[" + string(v.Name) + "]."
			if site, ok := names[v.Name]; ok {
				out = append(out, s.Origins[key+"name"].finding(key+"name",
					key+"name is also a VM of site "+string(site)))
			}
			names[v.Name] = s.Site
			out = append(out, s.findAddressConflicts(v, key, addresses)...)
		}
	}
	return out
}

// findAddressConflicts reports the addresses of v that are already in owners,
// and records all its addresses there. Owners maps each address to the key that
// sets it.
func (s *Settings) findAddressConflicts(v VM, key string, owners map[string]string) Findings {
	var out Findings
	check := func(name, address string) {
		if address == "" {
			return
		}
		if owner, ok := owners[address]; ok {
			out = append(out, s.Origins[key+name].finding(key+name,
				key+name+" is "+address+", which "+owner+" has too"))
		}
		owners[address] = key + name
	}
	check("caller-address", v.CallerAddress)
	check("peer-address", v.PeerAddress)
	check("admin-address", v.AdminAddress)
	return out
}
