package quorum

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// Limits of messages.
const (
	// MaxMessageBytes is the largest encoded message.
	MaxMessageBytes = 4<<20 - 4<<10
	// MaxDataBytes is the largest data of a record or snapshot.
	MaxDataBytes = MaxMessageBytes - 64<<10
	// maxIndex is the highest valid index and ballot, so that sums of them
	// can't overflow.
	maxIndex = 1 << 62
	// maxArrayElements, maxNestedLevels and maxMapPairs limit the CBOR values of
	// a received message.
	maxArrayElements = 1 << 16
	maxNestedLevels  = 8
	maxMapPairs      = 64
)

// Kind is the type of a message.
type Kind uint8

// Kinds of messages.
const (
	// KindPreVote asks whether the receiver would grant a vote.
	KindPreVote Kind = iota + 1
	KindPreVoteReply
	// KindVote asks for a vote.
	KindVote
	KindVoteReply
	// KindAppend carries records. Without records it is a heartbeat or a probe.
	KindAppend
	// KindAppendReply answers KindAppend and KindSnapshot.
	KindAppendReply
	// KindSnapshot carries a snapshot to a member that lacks records which the
	// leader no longer holds.
	KindSnapshot
	// KindTransferLeadership tells a voter that the leader resigned, and asks
	// it to start an election at once.
	KindTransferLeadership
	kindEnd
)

// Message is what one member sends to another.
type Message struct {
	Kind   Kind   `cbor:"1,keyasint"`
	Ballot Ballot `cbor:"2,keyasint"`
	// Sender is the incarnation of the sending member.
	Sender catalog.Incarnation `cbor:"3,keyasint"`
	// Receiver is the incarnation that the message is addressed to.
	Receiver catalog.Incarnation `cbor:"4,keyasint"`
	// PrevIndex is the record before Records in KindAppend, and the candidate's
	// last record in vote requests. In KindAppendReply it is the last matching
	// record, or the rejected PrevIndex if OK is false.
	PrevIndex   Index    `cbor:"5,keyasint,omitempty"`
	PrevBallot  Ballot   `cbor:"6,keyasint,omitempty"`
	Records     []Record `cbor:"7,keyasint,omitempty"`
	CommitIndex Index    `cbor:"8,keyasint,omitempty"`
	// SentAt is the send time on the leader's clock. The reply repeats it, and
	// only the leader reads it.
	SentAt catalog.Instant `cbor:"9,keyasint,omitempty"`
	// OK is set in replies that grant or acknowledge. In KindVote it says that
	// the leader of the previous ballot resigned.
	OK bool `cbor:"10,keyasint,omitempty"`
	// HintIndex and HintBallot are the index and ballot of the last record that
	// may match, in a KindAppendReply without OK.
	HintIndex  Index     `cbor:"11,keyasint,omitempty"`
	HintBallot Ballot    `cbor:"12,keyasint,omitempty"`
	Snapshot   *Snapshot `cbor:"13,keyasint,omitempty"`
}

var decodeMode = mustDecodeMode()

func mustDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxArrayElements:  maxArrayElements,
		MaxNestedLevels:   maxNestedLevels,
		MaxMapPairs:       maxMapPairs,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode encodes a message. It returns an error if Decode would reject the
// message.
func Encode(m Message) ([]byte, error) {
	if err := m.check(); err != nil {
		return nil, errors.Trace(err)
	}
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(body) > MaxMessageBytes {
		return nil, errors.Errorf("quorum message of %d bytes is too large", len(body))
	}
	return body, nil
}

// Decode decodes a message. It returns an error for a malformed message and for
// one that no member would send.
func Decode(body []byte) (Message, error) {
	if len(body) > MaxMessageBytes {
		return Message{}, errors.Errorf("quorum message of %d bytes is too large", len(body))
	}
	var m Message
	if err := decodeMode.Unmarshal(body, &m); err != nil {
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
	// A member that has not taken part in any ballot replies with ballot 0 when
	// it refuses a vote.
	mayLackBallot := m.Kind == KindPreVoteReply || m.Kind == KindVoteReply
	if (m.Ballot == 0 && !mayLackBallot) || m.SentAt < 0 {
		return errors.New("quorum message without a ballot or with a negative send time")
	}
	for _, n := range []uint64{
		uint64(m.Ballot), uint64(m.PrevIndex), uint64(m.PrevBallot),
		uint64(m.CommitIndex), uint64(m.HintIndex), uint64(m.HintBallot),
	} {
		if n > maxIndex {
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
	if s.Index == 0 || s.Index > maxIndex || s.Ballot == 0 || s.Ballot > m.Ballot {
		return errors.New("quorum snapshot with a number out of range")
	}
	return checkMembers(s.Members)
}

func (m *Message) checkRecords() error {
	if m.PrevBallot > m.Ballot && m.Kind == KindAppend {
		return errors.New("quorum records follow a record of a later ballot")
	}
	ballot := m.PrevBallot
	for i, r := range m.Records {
		if r.Index != m.PrevIndex+Index(i)+1 || r.Ballot < ballot || r.Ballot > m.Ballot {
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
