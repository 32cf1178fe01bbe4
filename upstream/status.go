package upstream

import (
	"strconv"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// statusColumns is the number of columns in the answer to Statements.Status.
const statusColumns = 4

// Status is an upstream's answer to Statements.Status.
type Status struct {
	Role     catalog.Role
	Position catalog.Position
	// ReceivedOffset is the offset up to which the upstream has received its
	// group's log. At a primary it is the end of its own log.
	ReceivedOffset catalog.Offset
}

// ParseStatus parses the row of the answer to Statements.Status.
func ParseStatus(row [][]byte) (Status, error) {
	if len(row) != statusColumns {
		return Status{}, errors.Errorf("upstream status has %d columns, want %d", len(row), statusColumns)
	}
	term, err := strconv.ParseUint(string(row[1]), 10, 64)
	if err != nil {
		return Status{}, errors.Annotate(err, "parse the term of the upstream")
	}
	offset, err := strconv.ParseUint(string(row[2]), 10, 64)
	if err != nil {
		return Status{}, errors.Annotate(err, "parse the log position of the upstream")
	}
	received, err := strconv.ParseUint(string(row[3]), 10, 64)
	if err != nil {
		return Status{}, errors.Annotate(err, "parse the received log position of the upstream")
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

// ReceiveStatus reads the answer to Statements.Status up to ReadyForQuery.
// The result connErr is set if the connection can't be used any more, statusErr
// if the upstream returned no valid status.
func (c *Conn) ReceiveStatus() (s Status, connErr, statusErr error) {
	statusErr = errors.New("upstream returned no status row")
	for {
		m, err := c.Receive()
		if err != nil {
			return Status{}, err, err
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			s, statusErr = ParseStatus(m.Values)
		case *pgproto3.ErrorResponse:
			statusErr = pgconn.ErrorResponseToPgError(m)
			if IsFatal(m) {
				return Status{}, statusErr, statusErr
			}
		case *pgproto3.ReadyForQuery:
			return s, nil, statusErr
		}
	}
}

// IsFatal reports whether the upstream closes the connection after the error.
func IsFatal(m *pgproto3.ErrorResponse) bool {
	severity := m.SeverityUnlocalized
	if severity == "" {
		severity = m.Severity
	}
	return severity == "FATAL" || severity == "PANIC"
}
