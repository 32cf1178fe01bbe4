package settings

import "github.com/kingcupknot/kingcupknot/catalog"

// Control configures the quorum of control VMs.
type Control struct {
	// Members are the initial voters. Invariant: an odd number.
	Members []Member
	// SnapshotAfter is how many log records are written between two snapshots.
	SnapshotAfter int
}

// Member is one control VM.
type Member struct {
	VM      catalog.VMID
	Site    catalog.SiteID
	Address string
}

const defaultSnapshotAfter = 256

func (s *Settings) readControl(t *tableReader) {
	s.Control.SnapshotAfter = defaultSnapshotAfter
	t.readInteger("snapshot-after", 1, &s.Control.SnapshotAfter)
	seen := map[catalog.VMID]bool{}
	for _, e := range t.children("members") {
		var m Member
		readRequired(e, "vm", &m.VM)
		readRequired(e, "site", &m.Site)
		e.readAddress("address", &m.Address)
		requireKey(e, "address")
		s.checkSite(e, "site", m.Site)
		if m.VM != "" && seen[m.VM] {
			e.addFinding("vm", "is listed twice")
		}
		seen[m.VM] = true
		s.checkMember(e, m)
		e.reportUnknownKeys()
		s.Control.Members = append(s.Control.Members, m)
	}
	if n := len(s.Control.Members); n%2 == 0 {
		t.addFinding("members", "must be an odd number of VMs, not %d", n)
	}
	t.reportUnknownKeys()
}

func (s *Settings) checkMember(t *tableReader, m Member) {
	for _, v := range s.VMs {
		if v.Name != m.VM {
			continue
		}
		if v.Role != RoleControl {
			t.addFinding("vm", "is %q, whose role is not \"control\"", m.VM)
		}
		if v.Site != m.Site {
			t.addFinding("site", "is %q, but the VM stands at %q", m.Site, v.Site)
		}
		if m.Address != "" && v.PeerAddress != m.Address {
			t.addFinding("address", "is %s, but the VM's peer-address is %s", m.Address, v.PeerAddress)
		}
		return
	}
	if m.VM != "" {
		t.addFinding("vm", "is %q, which is not a VM of the system", m.VM)
	}
}
