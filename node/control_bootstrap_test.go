package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/wire"
)

// newGroup is a control VM and the instances of a service that never had a primary.
type newGroup struct {
	*soloControl
	sequence uint64
	// roles holds the instances that run.
	roles    map[catalog.InstanceID]catalog.Role
	answered int
}

// run lets time pass in which the instances that run announce themselves and answer.
func (g *newGroup) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); g.advance(50 * ms) {
		g.sequence++
		for _, id := range []catalog.InstanceID{"a", "b", "c"} {
			if role, ok := g.roles[id]; ok {
				g.step(AnnouncementReceived{Announcement: testAnnouncement(id, role, g.sequence)})
			}
		}
		for ; g.answered < len(g.upstreamEffects); g.answered++ {
			g.answer(g.upstreamEffects[g.answered])
		}
	}
}

func (g *newGroup) answer(e Effect) {
	offsets := map[catalog.InstanceID]catalog.Offset{"a": 9, "b": 7, "c": 8}
	switch v := e.(type) {
	case Survey:
		if role, ok := g.roles[v.Instance]; ok {
			g.step(SurveyDone{
				Survey: v.Survey, Instance: v.Instance, Evidence: wire.EvidenceAlive, Role: role,
				Position: catalog.Position{Term: 1, Offset: offsets[v.Instance]},
			})
		}
	case Promote:
		g.roles[v.Instance] = catalog.RolePrimary
		g.step(PromoteDone{Service: v.Service, Instance: v.Instance, Epoch: v.Epoch, OK: true, Position: catalog.Position{Term: 2, Offset: offsets[v.Instance]}})
	}
}

func (g *newGroup) primary() catalog.Primary { return g.control.state.Primary("orders") }

// TestFirstPrimaryIsLost guards against a service that never gets a primary because the one that called itself primary was lost before the first election.
func TestFirstPrimaryIsLost(t *testing.T) {
	start := func(roles map[catalog.InstanceID]catalog.Role) *newGroup {
		return &newGroup{soloControl: newSoloControl(quorum.PersistentState{}), roles: roles}
	}
	configure := func(g *newGroup) {
		c := adoptCommand(1, time.Second)
		c.Adopt.Configuration.Services[0].Instances = 3
		g.runCommand(c)
	}
	replica := catalog.RoleReplica
	ttl := catalog.DefaultTimings().AnnouncementTTL
	Convey("a primary that is lost before the first configuration", t, func() {
		g := start(map[catalog.InstanceID]catalog.Role{"a": catalog.RolePrimary, "b": replica, "c": replica})
		g.run(time.Second)
		delete(g.roles, "a")
		g.run(500 * ms)
		configure(g)
		g.run(ttl - 500*ms)
		So(g.primary().Epoch, ShouldEqual, catalog.Epoch(0))
		Convey("is replaced by the replica that holds most", func() {
			g.run(2 * time.Second)
			So(g.primary().Ready, ShouldBeTrue)
			So(g.primary().Instance, ShouldEqual, catalog.InstanceID("c"))
		})
		Convey("becomes the primary if it returns before that", func() {
			g.roles["a"] = catalog.RolePrimary
			g.run(2 * time.Second)
			So(g.primary().Ready, ShouldBeTrue)
			So(g.primary().Instance, ShouldEqual, catalog.InstanceID("a"))
		})
	})
	Convey("a primary that has never announced itself", t, func() {
		g := start(map[catalog.InstanceID]catalog.Role{"b": replica, "c": replica})
		configure(g)
		g.run(unresponsiveReplicaWait - time.Second)
		So(g.primary().Epoch, ShouldEqual, catalog.Epoch(0))
		g.run(3 * time.Second)
		So(g.primary().Instance, ShouldEqual, catalog.InstanceID("c"))
		So(g.primary().Ready, ShouldBeTrue)
	})
}
