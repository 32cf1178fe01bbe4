package settings

import (
	"strings"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// VMRole determines which of the system's processes a VM runs.
type VMRole string

// Roles of a VM.
const (
	RoleEntry   VMRole = "entry"
	RoleControl VMRole = "control"
)

// VM is one VM of the system.
type VM struct {
	// Name is unique within the system.
	Name catalog.VMID
	Site catalog.SiteID
	Role VMRole
	// CallerAddress is the IP and port of the listener for PostgreSQL
	// connections. It is empty for control VMs.
	CallerAddress string
	// PeerAddress is the IP and port of the listener for WebSocket connections
	// from the system's other processes.
	PeerAddress string
	// AdminAddress is the IP and port of the HTTP listener for announcements,
	// operators' commands, readiness and metrics.
	AdminAddress string
}

// VM returns the VM with the given name. The error satisfies errors.IsNotFound
// if there is none, and errors.IsNotValid if the VM belongs to another site
// than the overlay.
func (s *Settings) VM(name catalog.VMID) (VM, error) {
	var names []string
	for _, v := range s.VMs {
		if v.Name != name {
			names = append(names, string(v.Name))
			continue
		}
		if s.Site != "" && v.Site != s.Site {
			return VM{}, errors.NotValidf("VM %q of site %q with the overlay of site %q",
				name, v.Site, s.Site)
		}
		return v, nil
	}
	return VM{}, errors.NotFoundf("VM %q (the settings have %s)", name, strings.Join(names, ", "))
}

// AdminAddresses returns the admin addresses of all VMs with a role.
func (s *Settings) AdminAddresses(role VMRole) []string {
	var out []string
	for _, v := range s.VMs {
		if v.Role == role {
			out = append(out, v.AdminAddress)
		}
	}
	return out
}

func (s *Settings) readVMs(t *tableReader) {
	names := map[catalog.VMID]bool{}
	addresses := map[string]string{}
	for _, e := range t.children("vm") {
		v := s.readVM(e)
		if v.Name != "" && names[v.Name] {
			e.addFinding("name", "is given to two VMs")
		}
		names[v.Name] = true
		requireUniqueAddress(e, "caller-address", v.CallerAddress, addresses)
		requireUniqueAddress(e, "peer-address", v.PeerAddress, addresses)
		requireUniqueAddress(e, "admin-address", v.AdminAddress, addresses)
		s.VMs = append(s.VMs, v)
	}
	if len(s.VMs) == 0 {
		t.addFinding("vm", "is missing: list the VMs of the system")
	}
}

func (s *Settings) readVM(t *tableReader) VM {
	var v VM
	readRequired(t, "name", &v.Name)
	readRequired(t, "site", &v.Site)
	readRequired(t, "role", &v.Role)
	t.readAddress("caller-address", &v.CallerAddress)
	t.readAddress("peer-address", &v.PeerAddress)
	t.readAddress("admin-address", &v.AdminAddress)
	s.checkSite(t, "site", v.Site)
	switch v.Role {
	case RoleEntry:
		requireKey(t, "caller-address")
	case RoleControl:
		if v.CallerAddress != "" {
			t.addFinding("caller-address", "must be left out: a control VM takes no callers")
		}
	case "":
	default:
		t.addFinding("role", "must be \"entry\" or \"control\"")
	}
	requireKey(t, "peer-address")
	requireKey(t, "admin-address")
	t.reportUnknownKeys()
	return v
}

// requireKey reports a key that is missing or an empty string. Other errors are
// reported where the key is read.
func requireKey(t *tableReader, name string) {
	if v := t.value.table[name]; v == nil || v.kind == kindString && v.text == "" {
		t.addFinding(name, "is missing")
	}
}

// requireUniqueAddress reports an address that is already in owners, or else
// adds it. Owners maps each address to the key that sets it.
func requireUniqueAddress(t *tableReader, name, address string, owners map[string]string) {
	if address == "" {
		return
	}
	if owner, ok := owners[address]; ok {
		t.addFinding(name, "is %s, which %s has too", address, owner)
		return
	}
	owners[address] = joinKey(t.key, name)
}

// checkOverlayVMs reports VMs of other sites that an overlay changes.
func (s *Settings) checkOverlayVMs(r *report, overlay *value) {
	list := overlay.table["vm"]
	if list == nil || list.kind != kindList || s.Site == "" {
		return
	}
	for _, e := range list.list {
		if e.kind != kindTable || e.table["name"] == nil {
			continue
		}
		for _, v := range s.VMs {
			if string(v.Name) == e.table["name"].text && v.Site != s.Site {
				r.addFinding(e.place, "vm["+string(v.Name)+"]",
					"stands at site %q and can't be changed by the overlay of %q", v.Site, s.Site)
			}
		}
	}
}
