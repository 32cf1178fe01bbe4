package capacity

import (
	"fmt"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// siteCount is the number of sites of the simulated system.
const siteCount = 11

// Limits of each simulated service.
const (
	connectionLimit = 100
	slotLimit       = 40
	localShare      = 2
)

// Positions of the simulated services. The base offset is large, so that encoded
// positions are as long as those of old logs.
const (
	epoch      = 7
	term       = 3
	baseOffset = 1 << 40
)

func serviceID(n int) catalog.ServiceID {
	return catalog.ServiceID(fmt.Sprintf("service-%05d", n))
}

func instanceID(service, n int) catalog.InstanceID {
	return catalog.InstanceID(fmt.Sprintf("service-%05d-%d", service, n))
}

func siteID(n int) catalog.SiteID {
	return catalog.SiteID(fmt.Sprintf("site-%02d", n%siteCount))
}

func entryID(n int) catalog.VMID {
	return catalog.VMID(fmt.Sprintf("entry-%04d", n))
}

// primarySuffix ends the names of the instances that are primaries.
const primarySuffix = "-0"

func newService(n, instances int) catalog.Service {
	return catalog.Service{
		ID: serviceID(n), Ack: catalog.AckPrimary, Instances: instances,
		Limits: catalog.Limits{Connections: connectionLimit, Reserved: 2, Slots: slotLimit, LocalShare: localShare},
	}
}

func newServices(n, instances int) []catalog.Service {
	out := make([]catalog.Service, 0, n)
	for i := range n {
		out = append(out, newService(i, instances))
	}
	return out
}

func newPrimary(service int) catalog.Primary {
	return catalog.Primary{
		Service: serviceID(service), Epoch: epoch, Instance: instanceID(service, 0), Term: term, Ready: true,
		Forks: catalog.Forks{{Term: term - 1, At: baseOffset}, {Term: term, At: baseOffset + 1}},
	}
}

func roleOf(instance int) catalog.Role {
	if instance == 0 {
		return catalog.RolePrimary
	}
	return catalog.RoleReplica
}

// newAnnouncement returns an announcement of an instance. Instance n of each
// service is at site n.
func newAnnouncement(service, instance int, sequence uint64) catalog.Announcement {
	return catalog.Announcement{
		Service: serviceID(service), Instance: instanceID(service, instance),
		Address: fmt.Sprintf("10.%d.%d.%d:5432", instance, service>>8, service&0xff),
		Site:    siteID(instance), Role: roleOf(instance),
		Position:    catalog.Position{Term: term, Offset: baseOffset + catalog.Offset(sequence)},
		Incarnation: 1 << 40, Sequence: sequence,
	}
}
