package quorum

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// Bounds of what a message holds.
const (
	// MaxBody is the largest encoded message, in bytes.
	MaxBody = 4<<20 - 4<<10
	// MaxData is the largest record or snapshot that is taken, in bytes.
	MaxData = MaxBody - 64<<10
	// maxNumber bounds indices and ballots, so that sums can't wrap.
	maxNumber   = 1 << 62
	maxElements = 1 << 16
	maxNesting  = 8
	maxPairs    = 64
)

// Kind says what a message is.
type Kind uint8

// Kinds of message.
const (
	// KindPreVote asks whether a vote would be granted.
	KindPreVote Kind = iota + 1
	KindPreVoteReply
	// KindVote asks for a vote.
	KindVote
	KindVoteReply
	// KindAppend brings records, or none as a heartbeat.
	KindAppend
	// KindAppendReply answers KindAppend and KindSnapshot.
	KindAppendReply
	// KindSnapshot brings a whole snapshot to a member that is far behind.
	KindSnapshot
	// KindHandover tells a voter that its leader resigned and that it
	// shall stand at once.
	KindHandover
	kindEnd
)

// Message is what members send each other.
type Message struct {
	Kind   Kind   `cbor:"1,keyasint"`
	Ballot Ballot `cbor:"2,keyasint"`
	// Sender is the incarnation of the member that sent this.
	Sender catalog.Incarnation `cbor:"3,keyasint"`
	// Receiver is the incarnation this is meant for.
	Receiver catalog.Incarnation `cbor:"4,keyasint"`
	// Prev is the record before Records in KindAppend, the candidate's last
	// one in votes, the one refused or the last one held in KindAppendReply.
	Prev        Index    `cbor:"5,keyasint,omitempty"`
	PrevBallot  Ballot   `cbor:"6,keyasint,omitempty"`
	Records     []Record `cbor:"7,keyasint,omitempty"`
	CommitIndex Index    `cbor:"8,keyasint,omitempty"`
	// Stamp is the send time on the leader's clock; the reply repeats it and
	// nobody else reads it.
	Stamp catalog.Instant `cbor:"9,keyasint,omitempty"`
	// OK is set in a reply that grants or acknowledges, and in KindVote if the
	// leader of the ballot before resigned.
	OK bool `cbor:"10,keyasint,omitempty"`
	// Hint and HintBallot name the last record that may agree, in a refusal.
	HintIndex  Index     `cbor:"11,keyasint,omitempty"`
	HintBallot Ballot    `cbor:"12,keyasint,omitempty"`
	Snapshot   *Snapshot `cbor:"13,keyasint,omitempty"`
}

var strict = mustMode()

func mustMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxArrayElements:  maxElements,
		MaxNestedLevels:   maxNesting,
		MaxMapPairs:       maxPairs,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode writes a message. It fails on one that Decode would refuse.
func Encode(m Message) ([]byte, error) {
	if err := m.check(); err != nil {
		return nil, errors.Trace(err)
	}
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(body) > MaxBody {
		return nil, errors.Errorf("quorum message of %d bytes is too large", len(body))
	}
	return body, nil
}

// Decode reads a message and refuses what no member would send.
func Decode(body []byte) (Message, error) {
	if len(body) > MaxBody {
		return Message{}, errors.Errorf("quorum message of %d bytes is too large", len(body))
	}
	var m Message
	if err := strict.Unmarshal(body, &m); err != nil {
		return Message{}, errors.Annotate(err, "quorum message")
	}
	if err := m.check(); err != nil {
		return Message{}, errors.Trace(err)
	}
	return m, nil
}

func (m *Message) check() error {
	if m.Kind == 0 || m.Kind >= kindEnd {
		return errors.Errorf("quorum message of unknown kind %d", m.Kind)
	}
	// Only a member that took part in no ballot yet refuses votes with none.
	unborn := m.Kind == KindPreVoteReply || m.Kind == KindVoteReply
	if (m.Ballot == 0 && !unborn) || m.Stamp < 0 {
		return errors.New("quorum message without a ballot or with a negative stamp")
	}
	for _, n := range []uint64{
		uint64(m.Ballot), uint64(m.Prev), uint64(m.PrevBallot),
		uint64(m.CommitIndex), uint64(m.HintIndex), uint64(m.HintBallot),
	} {
		if n > maxNumber {
			return errors.New("quorum message with a number out of range")
		}
	}
	if (m.Kind == KindSnapshot) != (m.Snapshot != nil) {
		return errors.New("quorum message with a misplaced snapshot")
	}
	if m.Kind != KindAppend && len(m.Records) > 0 {
		return errors.New("quorum message with misplaced records")
	}
	if err := m.checkSnapshot(); err != nil {
		return errors.Trace(err)
	}
	return m.checkRecords()
}

func (m *Message) checkSnapshot() error {
	s := m.Snapshot
	if s == nil {
		return nil
	}
	if s.Index == 0 || s.Index > maxNumber || s.Ballot == 0 || s.Ballot > m.Ballot {
		return errors.New("quorum snapshot with a number out of range")
	}
	return checkMembers(s.Members)
}

func (m *Message) checkRecords() error {
	if m.PrevBallot > m.Ballot && m.Kind == KindAppend {
		return errors.New("quorum records after a later ballot")
	}
	ballot := m.PrevBallot
	for i, r := range m.Records {
		if r.Index != m.Prev+Index(i)+1 || r.Ballot < ballot || r.Ballot > m.Ballot {
			return errors.Errorf("quorum record %d out of order", r.Index)
		}
		ballot = r.Ballot
		if len(r.Members) == 0 {
			continue
		}
		if err := checkMembers(r.Members); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
