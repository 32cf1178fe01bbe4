package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// Command is an operator's request to control. Exactly one of the pointer
// fields is set; the same type travels as JSON over HTTP.
type Command struct {
	// Change makes a changing command idempotent.
	Change catalog.ChangeID `json:"change-id,omitempty"`
	// IfVersion, if not zero, must equal the version in force.
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
}

// IsQuery reports whether the command changes nothing.
func (c Command) IsQuery() bool {
	asks := c.Status != nil || c.History != nil || c.Settings != nil
	c.Status, c.History, c.Settings = nil, nil, nil
	return asks && c == Command{}
}

// ApplySettings replaces the list of services.
type ApplySettings struct {
	Services []catalog.Service `json:"services"`
}

// AdoptSettings replaces the whole configuration if its version is higher than
// that in force. One that is not is accepted and changes nothing, so that a
// resend never fails.
type AdoptSettings struct {
	Configuration catalog.Configuration `json:"configuration"`
}

// Announce brings an upstream's word of itself to the leader. One that says it
// is leaving is answered once that is agreed on.
type Announce struct {
	Announcement catalog.Announcement `json:"announcement"`
}

// RetireUpstream keeps new work from an upstream that is gone. Life is zero for
// the newest one known.
type RetireUpstream struct {
	Instance catalog.InstanceID `json:"instance"`
	Life     uint64             `json:"life,omitempty"`
}

// CreateService adds a service.
type CreateService struct {
	Service catalog.Service `json:"service"`
}

// RemoveService removes a service; its upstreams get no more work.
type RemoveService struct {
	Service catalog.ServiceID `json:"service"`
}

// DrainUpstream keeps new work from an upstream, or lets it back.
type DrainUpstream struct {
	Instance catalog.InstanceID `json:"instance"`
	Off      bool               `json:"off,omitempty"`
}

// SwitchPrimary plans a change of primary, to Instance or, if it is empty, to
// the replica that is furthest on.
type SwitchPrimary struct {
	Service  catalog.ServiceID  `json:"service"`
	Instance catalog.InstanceID `json:"instance,omitempty"`
}

// ReplaceMember lets the new incarnation of a control VM take the place of the
// old one.
type ReplaceMember struct {
	VM          catalog.VMID        `json:"vm"`
	Incarnation catalog.Incarnation `json:"incarnation"`
}

// StatusQuery asks for the state of the system.
type StatusQuery struct{}

// HistoryQuery asks for the accepted changes, newest first.
type HistoryQuery struct {
	Limit int `json:"limit"`
}

// SettingsQuery asks for the services in force.
type SettingsQuery struct{}

// ReplyCode says how a command ended.
type ReplyCode string

// Reply codes.
const (
	ReplyOK       ReplyCode = "ok"
	ReplyConflict ReplyCode = "conflict"
	ReplyInvalid  ReplyCode = "invalid"
	ReplyNotFound ReplyCode = "not-found"
	// ReplyNotLeader names the leader to ask in Leader.
	ReplyNotLeader ReplyCode = "not-leader"
	// ReplyUnknown means that the change may yet be accepted; a resend with
	// the same change id tells.
	ReplyUnknown ReplyCode = "unknown"
)

// Reply answers a Command.
type Reply struct {
	Code    ReplyCode       `json:"code"`
	Version catalog.Version `json:"version"`
	// Text says what happened, and what to do next if it failed.
	Text   string       `json:"text,omitempty"`
	Leader catalog.VMID `json:"leader,omitempty"`
	// Winner names the change that got the version a conflict asked for.
	Winner   catalog.ChangeID  `json:"winner,omitempty"`
	Status   *Status           `json:"status,omitempty"`
	History  []Change          `json:"history,omitempty"`
	Services []catalog.Service `json:"services,omitempty"`
	Routes   []catalog.Route   `json:"routes,omitempty"`
	// Document is the configuration as the operator wrote it, for a
	// SettingsQuery.
	Document []byte `json:"document,omitempty"`
	// RetryAfter is the hint when to come back.
	RetryAfter time.Duration `json:"retry-after,omitempty"`
}

// Change is one accepted change of configuration.
type Change struct {
	Version catalog.Version  `json:"version"`
	Change  catalog.ChangeID `json:"change-id"`
	Text    string           `json:"text"`
}

// Status describes the system as the control leader sees it.
type Status struct {
	Leader   catalog.VMID     `json:"leader"`
	Version  catalog.Version  `json:"version"`
	Members  []MemberStatus   `json:"members"`
	Services []ServiceStatus  `json:"services"`
	Entries  []EntryStatus    `json:"entries"`
	Upstream []UpstreamStatus `json:"upstreams"`
}

// MemberStatus describes one control VM.
type MemberStatus struct {
	VM          catalog.VMID        `json:"vm"`
	Incarnation catalog.Incarnation `json:"incarnation"`
	Voter       bool                `json:"voter"`
	// Reachable is set if the member answered within the election timeout.
	Reachable bool `json:"reachable"`
	// Caught is set if the member holds and synced all committed records.
	Caught bool `json:"caught-up"`
}

// ServiceStatus describes one service.
type ServiceStatus struct {
	Service catalog.Service `json:"service"`
	Primary catalog.Primary `json:"primary"`
	// Phase names the step of a failover, empty if none runs.
	Phase string `json:"phase,omitempty"`
	// Holders is how many entries may hold a lease on the primary, LeaseLeft
	// how long the last of them runs.
	Holders   int           `json:"holders,omitempty"`
	LeaseLeft time.Duration `json:"lease-left,omitempty"`
}

// EntryStatus describes one entry.
type EntryStatus struct {
	VM       catalog.VMID    `json:"vm"`
	Site     catalog.SiteID  `json:"site"`
	Settings catalog.Version `json:"settings"`
	// Seen is the time since its last report.
	Seen time.Duration `json:"seen"`
}

// UpstreamStatus describes one upstream.
type UpstreamStatus struct {
	Announcement catalog.Announcement `json:"announcement"`
	// Heard is the time since its last announcement.
	Heard    time.Duration `json:"heard"`
	Draining bool          `json:"draining"`
	// Granted is how many connections entries may hold.
	Granted int `json:"granted"`
}
