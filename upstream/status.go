package upstream

import (
	"strconv"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// statusColumns is how many columns the answer to Statements.Status has.
const statusColumns = 4

// Status is an upstream's answer to Statements.Status.
type Status struct {
	Role     catalog.Role
	Position catalog.Position
	// Received is how far the upstream holds its group's log.
	ReceivedOffset catalog.Offset
}

// ParseStatus reads the row of the answer to Statements.Status.
func ParseStatus(row [][]byte) (Status, error) {
	if len(row) != statusColumns {
		return Status{}, errors.Errorf("status has %d columns in place of %d", len(row), statusColumns)
	}
	term, err := strconv.ParseUint(string(row[1]), 10, 64)
	if err != nil {
		return Status{}, errors.Annotate(err, "term of the upstream")
	}
	offset, err := strconv.ParseUint(string(row[2]), 10, 64)
	if err != nil {
		return Status{}, errors.Annotate(err, "log position of the upstream")
	}
	received, err := strconv.ParseUint(string(row[3]), 10, 64)
	if err != nil {
		return Status{}, errors.Annotate(err, "received log position of the upstream")
	}
	role := catalog.RolePrimary
	if string(row[0]) == "t" {
		role = catalog.RoleReplica
	}
	return Status{
		Role:           role,
		Position:       catalog.Position{Term: catalog.Term(term), Offset: catalog.Offset(offset)},
		ReceivedOffset: catalog.Offset(received),
	}, nil
}

// ReceiveStatus reads the answer to Statements.Status up to ReadyForQuery. The
// first error tells that the connection can't be used any more, the second
// that the upstream gave no status.
func (c *Conn) ReceiveStatus() (s Status, lost, refused error) {
	refused = errors.New("no status in the answer")
	for {
		m, err := c.Receive()
		if err != nil {
			return Status{}, err, err
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			s, refused = ParseStatus(m.Values)
		case *pgproto3.ErrorResponse:
			refused = pgconn.ErrorResponseToPgError(m)
			if IsFatal(m) {
				return Status{}, refused, refused
			}
		case *pgproto3.ReadyForQuery:
			return s, nil, refused
		}
	}
}

// Fatal reports whether the upstream ends the connection with the error.
func IsFatal(m *pgproto3.ErrorResponse) bool {
	severity := m.SeverityUnlocalized
	if severity == "" {
		severity = m.Severity
	}
	return severity == "FATAL" || severity == "PANIC"
}
