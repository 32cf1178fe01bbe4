package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// Command is an operator's request to control. Exactly one of the pointer
// fields is set. The type is also the JSON body of the HTTP interface.
type Command struct {
	// Change is the idempotency key of a changing command.
	Change catalog.ChangeID `json:"change-id,omitempty"`
	// IfVersion, if not zero, must equal the version in force. Otherwise the
	// command ends with ReplyConflict.
	IfVersion catalog.Version `json:"if-version,omitempty"`

	Apply    *ApplySettings  `json:"apply,omitempty"`
	Create   *CreateService  `json:"create,omitempty"`
	Remove   *RemoveService  `json:"remove,omitempty"`
	Drain    *DrainUpstream  `json:"drain,omitempty"`
	Switch   *SwitchPrimary  `json:"switch,omitempty"`
	Replace  *ReplaceMember  `json:"replace,omitempty"`
	Adopt    *AdoptSettings  `json:"adopt,omitempty"`
	Announce *Announce       `json:"announce,omitempty"`
	Retire   *RetireUpstream `json:"retire,omitempty"`
	Status   *StatusQuery    `json:"status,omitempty"`
	History  *HistoryQuery   `json:"history,omitempty"`
	Settings *SettingsQuery  `json:"settings,omitempty"`

	Organisations *OrganisationsQuery `json:"organisations,omitempty"`
	// Explain is answered by entries, all others by control.
	Explain *ExplainQuery `json:"explain,omitempty"`
}

// IsQuery reports whether the command only reads state.
func (c Command) IsQuery() bool {
	isQuery := c.Status != nil || c.History != nil || c.Settings != nil || c.Organisations != nil || c.Explain != nil
	c.Status, c.History, c.Settings, c.Organisations, c.Explain = nil, nil, nil, nil, nil
	return isQuery && c == Command{}
}

// FilterReply returns the reply to the command as operators get it: without the
// document that contains keys, unless the command asks for it.
func (c Command) FilterReply(r Reply) Reply {
	if c.Settings == nil || !c.Settings.Document {
		r.Document = nil
	}
	return r
}

// ApplySettings replaces the list of services.
type ApplySettings struct {
	Services []catalog.Service `json:"services"`
}

// AdoptSettings replaces the whole configuration if its version is higher than
// the version in force. Any other version is accepted without effect, so that a
// resend never fails.
type AdoptSettings struct {
	Configuration catalog.Configuration `json:"configuration"`
}

// Announce passes an upstream's announcement to the leader. If the upstream
// announces that it is leaving, the command is answered only after its
// retirement is committed.
type Announce struct {
	Announcement catalog.Announcement `json:"announcement"`
}

// RetireUpstream stops giving new work to an upstream that no longer runs.
// Incarnation numbers the start of its process that is retired, along with all
// earlier ones; zero means the newest known one.
type RetireUpstream struct {
	Instance    catalog.InstanceID `json:"instance"`
	Incarnation uint64             `json:"life,omitempty"`
}

// CreateService adds a service.
type CreateService struct {
	Service catalog.Service `json:"service"`
}

// RemoveService removes a service. Its upstreams get no further work.
type RemoveService struct {
	Service catalog.ServiceID `json:"service"`
}

// DrainUpstream stops giving new work to an upstream or, if Off is set, allows
// new work again.
type DrainUpstream struct {
	Instance catalog.InstanceID `json:"instance"`
	Off      bool               `json:"off,omitempty"`
}

// SwitchPrimary starts a planned change of primary to Instance. If Instance is
// empty, control chooses a replica that has caught up with the primary.
type SwitchPrimary struct {
	Service  catalog.ServiceID  `json:"service"`
	Instance catalog.InstanceID `json:"instance,omitempty"`
}

// ReplaceMember replaces a control VM by a new incarnation of the same VM.
type ReplaceMember struct {
	VM          catalog.VMID        `json:"vm"`
	Incarnation catalog.Incarnation `json:"incarnation"`
}

// StatusQuery reads the state of the system.
type StatusQuery struct{}

// HistoryQuery reads the accepted changes, newest first. Limit bounds their
// number; zero means no limit.
type HistoryQuery struct {
	Limit int `json:"limit"`
}

// SettingsQuery reads the configuration in force.
type SettingsQuery struct {
	// Document asks for the operator's document, which contains the keys of
	// organisations.
	Document bool `json:"document,omitempty"`
}

// OrganisationsQuery reads the organisations in force, without their keys.
type OrganisationsQuery struct{}

// ReplyCode says how a command ended.
type ReplyCode string

// Reply codes.
const (
	ReplyOK       ReplyCode = "ok"
	ReplyConflict ReplyCode = "conflict"
	ReplyInvalid  ReplyCode = "invalid"
	ReplyNotFound ReplyCode = "not-found"
	// ReplyNotLeader means that this VM is not the leader. Leader of the Reply
	// names the leader if it is known.
	ReplyNotLeader ReplyCode = "not-leader"
	// ReplyUnknown means that the change may still be accepted. A resend with
	// the same change id returns its outcome.
	ReplyUnknown ReplyCode = "unknown"
)

// Reply answers a Command.
type Reply struct {
	Code    ReplyCode       `json:"code"`
	Version catalog.Version `json:"version"`
	// Text says what happened and, for a failed command, what to do next.
	Text   string       `json:"text,omitempty"`
	Leader catalog.VMID `json:"leader,omitempty"`
	// Winner is the change that made the version in force, if the command ended
	// with ReplyConflict because of IfVersion.
	Winner   catalog.ChangeID  `json:"winner,omitempty"`
	Status   *Status           `json:"status,omitempty"`
	History  []Change          `json:"history,omitempty"`
	Services []catalog.Service `json:"services,omitempty"`
	Routes   []catalog.Route   `json:"routes,omitempty"`
	// Organisations are sorted by id.
	Organisations []OrganisationStatus `json:"organisations,omitempty"`
	Explanation   *Explanation         `json:"explanation,omitempty"`
	// Document is the configuration as the operator wrote it, for a
	// SettingsQuery. FilterReply removes it from what operators get.
	Document []byte `json:"document,omitempty"`
	// RetryAfter is the suggested delay before a retry.
	RetryAfter time.Duration `json:"retry-after,omitempty"`
}

// Change is an accepted change of the configuration.
type Change struct {
	Version catalog.Version  `json:"version"`
	Change  catalog.ChangeID `json:"change-id"`
	Text    string           `json:"text"`
}

// Status describes the system from the view of the control leader.
type Status struct {
	Leader    catalog.VMID     `json:"leader"`
	Version   catalog.Version  `json:"version"`
	Members   []MemberStatus   `json:"members"`
	Services  []ServiceStatus  `json:"services"`
	Entries   []EntryStatus    `json:"entries"`
	Upstreams []UpstreamStatus `json:"upstreams"`
}

// MemberStatus describes one control VM.
type MemberStatus struct {
	VM          catalog.VMID        `json:"vm"`
	Incarnation catalog.Incarnation `json:"incarnation"`
	Voter       bool                `json:"voter"`
	// Reachable is set if the member responded within the election timeout.
	Reachable bool `json:"reachable"`
	// CaughtUp is set if the member has synced all committed records to its
	// disk.
	CaughtUp bool `json:"caught-up"`
}

// ServiceStatus describes one service.
type ServiceStatus struct {
	Service catalog.Service `json:"service"`
	Primary catalog.Primary `json:"primary"`
	// Phase is the current phase of a failover, empty if none is in progress.
	Phase string `json:"phase,omitempty"`
	// LeaseHolders is how many entries may hold a lease on the primary.
	// LeaseLeft is the longest remaining time of these leases.
	LeaseHolders int           `json:"holders,omitempty"`
	LeaseLeft    time.Duration `json:"lease-left,omitempty"`
}

// EntryStatus describes one entry.
type EntryStatus struct {
	VM       catalog.VMID    `json:"vm"`
	Site     catalog.SiteID  `json:"site"`
	Settings catalog.Version `json:"settings"`
	// ReportAge is the time since the entry's last report.
	ReportAge time.Duration `json:"seen"`
}

// OrganisationStatus describes one organisation. It holds no key or digest.
type OrganisationStatus struct {
	ID catalog.OrganisationID `json:"id"`
	// Keys is the number of keys.
	Keys     int `json:"keys"`
	Priority int `json:"priority"`
	// Rate and Burst are the limit, in operations per second and operations. A
	// Rate of zero means no limit.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Limited is set while control divides the limit among the entries, because
	// the organisation asks for about its rate or more.
	Limited bool `json:"limited"`
}

// UpstreamStatus describes one upstream.
type UpstreamStatus struct {
	Announcement catalog.Announcement `json:"announcement"`
	// AnnouncementAge is the time since the upstream's last announcement.
	AnnouncementAge time.Duration `json:"heard"`
	Draining        bool          `json:"draining"`
	// Granted is the number of connections that entries may hold beyond their
	// local shares.
	Granted int `json:"granted"`
}
