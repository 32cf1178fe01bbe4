package capacity

import (
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/link"
	"github.com/kingcupknot/kingcupknot/registry"
	"github.com/kingcupknot/kingcupknot/wire"
)

// measureSnapshot measures snapshots of the replicated state, restores, changes
// and the frame with all settings.
func (p Plan) measureSnapshot(rows *Rows) error {
	s := series{rows, "agreement", "services", fmt.Sprintf("%d results kept", registry.MaxStoredResults)}
	for _, n := range p.choosePoints([]int{30, 300, 3000, 19000}, []int{30, 300, 3000}) {
		state := newState(n, baseInstances)
		for i := range registry.MaxStoredResults {
			state.Results = append(state.Results, registry.Result{
				ID: catalog.ChangeID(fmt.Sprintf("change-%032d", i)), Code: registry.CodeOK, Version: 1,
				Text: fmt.Sprintf("service %s created", serviceID(i)), Digest: 1 << 60,
			})
		}
		var data []byte
		var err error
		s.add("snapshot", "µs", float64(n), microseconds(minCPUTimeOf(func() { data, err = state.Snapshot() })))
		if err != nil {
			return errors.Trace(err)
		}
		s.add("snapshot", "bytes", float64(n), float64(len(data)))
		var restored *registry.State
		s.add("restore", "µs", float64(n), microseconds(minCPUTimeOf(func() { restored, err = registry.Restore(data) })))
		if err != nil {
			return errors.Trace(err)
		}
		c := registry.Change{ID: "measured-change", Create: &registry.CreateService{Service: newService(n, baseInstances)}}
		s.add("apply", "µs", float64(n), microseconds(cpuTimeOf(func() { restored.Apply(c) })))
		fullAnswer := wire.Message{Answer: &wire.Answer{Leader: controlVM, Version: 1, Services: state.Services, Full: true}}
		frame, err := link.Encode(fullAnswer)
		if err != nil {
			return errors.Trace(err)
		}
		s.add("whole settings", "bytes", float64(n), float64(len(frame)))
	}
	return nil
}

// measureCodec measures encoding and decoding of answers of growing size.
func (p Plan) measureCodec(rows *Rows) error {
	s := series{rows, "codec", "bytes of a frame", "answers with leases"}
	for _, n := range []int{3, 30, 300} {
		a := &wire.Answer{Leader: controlVM, Sequence: 1 << 40, Version: 1}
		for i := range n {
			a.Leases = append(a.Leases, wire.Lease{Primary: newPrimary(i), Length: time.Second})
		}
		m := wire.Message{Answer: a}
		data, err := link.Encode(m)
		if err != nil {
			return errors.Trace(err)
		}
		const repetitions = 300
		x := float64(len(data))
		s.add("encode", "µs", x, microseconds(minCPUTimeOf(func() { repeat(repetitions, func() { _, err = link.Encode(m) }) }))/repetitions)
		s.add("decode", "µs", x, microseconds(minCPUTimeOf(func() { repeat(repetitions, func() { _, err = link.Decode(data) }) }))/repetitions)
		if err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// measureProbe measures the size of a probe as a simple query, which is how probes
// are sent, and as a prepared statement.
func (p Plan) measureProbe(rows *Rows) error {
	s := series{rows, "probe", "probes", "the statement of DefaultStatements"}
	text, err := encodedLength(&pgproto3.Query{String: catalog.DefaultStatements().Status})
	if err != nil {
		return errors.Trace(err)
	}
	prepared, err := encodedLength(&pgproto3.Bind{PreparedStatement: "status"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	if err != nil {
		return errors.Trace(err)
	}
	answer, err := encodedLength(
		&pgproto3.BindComplete{},
		&pgproto3.DataRow{Values: [][]byte{[]byte("f"), []byte("3"), []byte("1099511627776")}},
		&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}, &pgproto3.ReadyForQuery{TxStatus: 'I'},
	)
	if err != nil {
		return errors.Trace(err)
	}
	for n := 1; n <= 3; n++ {
		s.add("question as text", "bytes", float64(n), float64(n*text))
		s.add("question prepared", "bytes", float64(n), float64(n*prepared))
		s.add("answer", "bytes", float64(n), float64(n*answer))
	}
	return nil
}

// encodable is a PostgreSQL protocol message that can be encoded.
type encodable interface {
	Encode(dst []byte) ([]byte, error)
}

// encodedLength returns the total length of the encoded messages in bytes.
func encodedLength(list ...encodable) (int, error) {
	var data []byte
	for _, m := range list {
		var err error
		if data, err = m.Encode(data); err != nil {
			return 0, errors.Trace(err)
		}
	}
	return len(data), nil
}

func repeat(n int, do func()) {
	for range n {
		do()
	}
}
