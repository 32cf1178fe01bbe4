// Package registry is the state that the control VMs agree on: the accepted
// configuration and the primary of each service. It is changed only by Apply,
// in the order of the agreed log, and is the same at every control VM.
package registry

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// Change is one command of the agreed log. Exactly one of the pointer fields
// is set.
type Change struct {
	// ID makes an operator's change idempotent; control's own have none.
	ID catalog.ChangeID `cbor:"1,keyasint,omitempty"`
	// IfVersion, if not zero, must equal the version in force.
	IfVersion catalog.Version `cbor:"2,keyasint,omitempty"`

	Replace *ReplaceServices `cbor:"3,keyasint,omitempty"`
	Create  *CreateService   `cbor:"4,keyasint,omitempty"`
	Remove  *RemoveService   `cbor:"5,keyasint,omitempty"`
	Drain   *DrainUpstream   `cbor:"6,keyasint,omitempty"`
	Elect   *ElectPrimary    `cbor:"7,keyasint,omitempty"`
	Ready   *PrimaryReady    `cbor:"8,keyasint,omitempty"`
	Adopt   *Adopt           `cbor:"9,keyasint,omitempty"`
	Retire  *Retire          `cbor:"10,keyasint,omitempty"`
	// Enroll remembers where an upstream is, so that the next leader knows it
	// before it has announced itself there.
	Enroll *catalog.Announcement `cbor:"11,keyasint,omitempty"`
}

// Adopt replaces the whole configuration if its version is higher than that in
// force. Otherwise it changes nothing and is still accepted, so that a resend
// never fails.
type Adopt struct {
	Version         catalog.Version   `cbor:"1,keyasint"`
	Services        []catalog.Service `cbor:"2,keyasint"`
	Routes          []catalog.Route   `cbor:"3,keyasint"`
	TransactionIdle time.Duration     `cbor:"4,keyasint"`
	// Document is the compressed text of the operator.
	Document []byte `cbor:"5,keyasint"`
}

// Retire keeps new work from one life of an upstream for good.
type Retire struct {
	Instance catalog.InstanceID `cbor:"1,keyasint"`
	Life     uint64             `cbor:"2,keyasint"`
}

// ReplaceAll sets the whole list of services.
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

// DrainUpstream keeps new work from an upstream, or lets it back.
type DrainUpstream struct {
	Instance catalog.InstanceID `cbor:"1,keyasint"`
	Off      bool               `cbor:"2,keyasint,omitempty"`
}

// Elect names the next primary of a service, before it is promoted.
type ElectPrimary struct {
	Service catalog.ServiceID `cbor:"1,keyasint"`
	// Epoch is the one after that of the primary it replaces; the change is
	// refused if another choice came first.
	Epoch    catalog.Epoch      `cbor:"2,keyasint"`
	Instance catalog.InstanceID `cbor:"3,keyasint"`
}

// Ready ends the promotion of an elected primary.
type PrimaryReady struct {
	Service catalog.ServiceID `cbor:"1,keyasint"`
	Epoch   catalog.Epoch     `cbor:"2,keyasint"`
	Term    catalog.Term      `cbor:"3,keyasint"`
	// Fork, if its term is not zero, is where Term left the one before.
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

// Encode writes a change for the log.
func Encode(c Change) ([]byte, error) {
	data, err := encoder.Marshal(c)
	return data, errors.Annotate(err, "encode change")
}

// Decode reads a change from the log.
func Decode(data []byte) (Change, error) {
	var c Change
	err := decoder.Unmarshal(data, &c)
	return c, errors.Annotate(err, "decode change")
}
