// Package registry is the replicated state machine of the control VMs: the
// accepted configuration, the primary of each service, and the registered
// upstreams. Only Apply changes it, in the order of the replicated log, so it
// is the same at every control VM.
package registry

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// Change is one command of the replicated log. Exactly one of its pointer
// fields is set.
type Change struct {
	// ID makes an operator's change idempotent. It is empty in changes that
	// control makes itself.
	ID catalog.ChangeID `cbor:"1,keyasint,omitempty"`
	// IfVersion, if not zero, must equal the current version when an operator's
	// change is applied. Otherwise the result is CodeConflict.
	IfVersion catalog.Version `cbor:"2,keyasint,omitempty"`

	Replace *ReplaceServices    `cbor:"3,keyasint,omitempty"`
	Create  *CreateService      `cbor:"4,keyasint,omitempty"`
	Remove  *RemoveService      `cbor:"5,keyasint,omitempty"`
	Drain   *DrainUpstream      `cbor:"6,keyasint,omitempty"`
	Elect   *ElectPrimary       `cbor:"7,keyasint,omitempty"`
	Ready   *PrimaryReady       `cbor:"8,keyasint,omitempty"`
	Adopt   *AdoptConfiguration `cbor:"9,keyasint,omitempty"`
	Retire  *RetireUpstream     `cbor:"10,keyasint,omitempty"`
	// Register stores the address of an upstream, so that the next leader can
	// reach it before it has received an announcement.
	Register *catalog.Announcement `cbor:"11,keyasint,omitempty"`
}

// AdoptConfiguration replaces the whole configuration if its version is higher
// than the current one. Otherwise it changes nothing and still succeeds, so
// that it can be resent safely.
type AdoptConfiguration struct {
	Version  catalog.Version   `cbor:"1,keyasint"`
	Services []catalog.Service `cbor:"2,keyasint"`
	Routes   []catalog.Route   `cbor:"3,keyasint"`
	// TransactionIdle is how long a transaction may be idle before it may be
	// rolled back. Zero means no bound.
	TransactionIdle time.Duration `cbor:"4,keyasint"`
	// Document is the operator's configuration file, compressed.
	Document []byte `cbor:"5,keyasint"`
	// KeysRequired is set if callers need the key of an organisation.
	KeysRequired  bool                   `cbor:"6,keyasint,omitempty"`
	Organisations []catalog.Organisation `cbor:"7,keyasint,omitempty"`
}

// RetireUpstream permanently excludes an upstream from new work in all its
// incarnations up to and including Incarnation. A later incarnation may
// register again.
type RetireUpstream struct {
	Instance    catalog.InstanceID `cbor:"1,keyasint"`
	Incarnation uint64             `cbor:"2,keyasint"`
}

// ReplaceServices replaces the list of services.
type ReplaceServices struct {
	Services []catalog.Service `cbor:"1,keyasint"`
}

// CreateService adds one service.
type CreateService struct {
	Service catalog.Service `cbor:"1,keyasint"`
}

// RemoveService removes one service.
type RemoveService struct {
	Service catalog.ServiceID `cbor:"1,keyasint"`
}

// DrainUpstream stops new work for an upstream. With Off it admits new work
// again.
type DrainUpstream struct {
	Instance catalog.InstanceID `cbor:"1,keyasint"`
	Off      bool               `cbor:"2,keyasint,omitempty"`
}

// ElectPrimary chooses the next primary of a service, before it is promoted.
type ElectPrimary struct {
	Service catalog.ServiceID `cbor:"1,keyasint"`
	// Epoch must be one higher than the current epoch of the service. The
	// change is rejected if another election was committed first.
	Epoch    catalog.Epoch      `cbor:"2,keyasint"`
	Instance catalog.InstanceID `cbor:"3,keyasint"`
}

// PrimaryReady records that the promotion of an elected primary is complete.
type PrimaryReady struct {
	Service catalog.ServiceID `cbor:"1,keyasint"`
	Epoch   catalog.Epoch     `cbor:"2,keyasint"`
	Term    catalog.Term      `cbor:"3,keyasint"`
	// Fork, if its term is not zero, is the position at which Term branched off
	// the previous term.
	Fork catalog.Fork `cbor:"4,keyasint"`
}

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode encodes a change for the log. It returns a NotValid error for a change that
// Decode would refuse, such as one with text that is not UTF-8: all members would
// skip the record.
func Encode(c Change) ([]byte, error) {
	data, err := encoder.Marshal(c)
	if err != nil {
		return nil, errors.Annotate(err, "encode change")
	}
	if _, err := Decode(data); err != nil {
		return nil, errors.NewNotValid(err, "encode change")
	}
	return data, nil
}

// Decode decodes a change from the log.
func Decode(data []byte) (Change, error) {
	var c Change
	err := decoder.Unmarshal(data, &c)
	return c, errors.Annotate(err, "decode change")
}
