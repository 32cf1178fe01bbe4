package standin

import (
	"context"
	"encoding/json"
	"regexp"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// systemRules returns the rules for the statements that the proxy itself and
// other instances send. They need no slot, so that an instance with all slots
// in use can still be probed and promoted.
func systemRules() []rule {
	return []rule{
		newRule(`.*pg_is_in_recovery\(\) THEN pg_last_wal_replay_lsn\(\).*`, statusStatement),
		newRule(`select pg_is_in_recovery\(~\)`, func([]string) *statement {
			return selectOneNoSlot("pg_is_in_recovery", oidBool, func(c *conn) (string, error) {
				role, _ := c.server.store.status()
				return boolText(role == catalog.RoleReplica), nil
			})
		}),
		newRule(`select pg_(current_wal|last_wal_replay)_lsn\(~\)`, walPosition),
		newRule(`select pg_promote\([^)]*\)(?:~,~(\d+) as after_term)?`, func(m []string) *statement {
			// PostgreSQL instances find the terms in use in an archive of
			// timeline histories that the group shares. The stand-in takes
			// the term from the statement instead.
			after, _ := strconv.ParseUint(m[1], 10, 64)
			return selectOneNoSlot("pg_promote", oidBool, func(c *conn) (string, error) {
				return "t", c.server.PromoteAfter(catalog.Term(after))
			})
		}),
		newRule(`alter system set primary_conninfo~(?:=|to)~<V>`, setPrimaryConninfo),
		newRule(`select pg_reload_conf\(~\)`, func([]string) *statement {
			return selectOneNoSlot("pg_reload_conf", oidBool, func(c *conn) (string, error) {
				c.server.reload()
				return "t", nil
			})
		}),
		newRule(`standin history`, func([]string) *statement {
			return selectOneNoSlot("history", oidText, func(c *conn) (string, error) {
				text, err := json.Marshal(c.server.store.history())
				return string(text), err
			})
		}),
		newRule(`standin log from (\d+) (\d+)`, streamLog),
	}
}

func selectOneNoSlot(name string, oid uint32, value func(*conn) (string, error)) *statement {
	s := &statement{noSlot: true, columns: []column{{name: name, oid: oid}}}
	s.run = func(_ context.Context, c *conn, _ []string) (result, error) {
		v, err := value(c)
		return result{tag: "SELECT 1", rows: [][]string{{v}}}, err
	}
	return s
}

func statusStatement([]string) *statement {
	s := &statement{noSlot: true, columns: []column{
		{name: "pg_is_in_recovery", oid: oidBool},
		{name: "term", oid: oidInt4},
		{name: "offset", oid: oidInt8},
		{name: "received", oid: oidInt8},
	}}
	s.run = func(_ context.Context, c *conn, _ []string) (result, error) {
		role, p := c.server.store.status()
		_, received := c.server.store.receivedPosition()
		return result{tag: "SELECT 1", rows: [][]string{{
			boolText(role == catalog.RoleReplica),
			strconv.FormatUint(uint64(p.Term), 10),
			strconv.FormatUint(uint64(p.Offset), 10),
			strconv.FormatUint(uint64(max(received, p.Offset)), 10),
		}}}, nil
	}
	return s
}

func walPosition(m []string) *statement {
	replay := strings.HasPrefix(strings.ToLower(m[1]), "last")
	return selectOneNoSlot("pg_"+strings.ToLower(m[1])+"_lsn", oidLSN, func(c *conn) (string, error) {
		role, p := c.server.store.status()
		if role == catalog.RoleReplica && !replay {
			return "", newSQLError(codeNotInRecovery, "recovery is in progress")
		}
		return formatLSN(uint64(p.Offset)), nil
	})
}

var (
	conninfoHost = regexp.MustCompile(`\bhost\s*=\s*(\S+)`)
	conninfoPort = regexp.MustCompile(`\bport\s*=\s*(\d+)`)
)

func setPrimaryConninfo(m []string) *statement {
	text := parseOperand(m[1]).text
	s := &statement{noSlot: true}
	s.run = func(_ context.Context, c *conn, _ []string) (result, error) {
		host, port := conninfoHost.FindStringSubmatch(text), conninfoPort.FindStringSubmatch(text)
		if host == nil || port == nil {
			return result{}, newSQLError("22023", "primary_conninfo needs host and port: %s", text)
		}
		c.server.setConninfoAddress(host[1] + ":" + port[1])
		return result{tag: "ALTER SYSTEM"}, nil
	}
	return s
}

// streamLog builds a statement that sends the records past an offset as rows,
// then new records as they are appended, until the history no longer ends with
// the given term.
func streamLog(m []string) *statement {
	term, _ := strconv.ParseUint(m[1], 10, 64)
	from, _ := strconv.ParseUint(m[2], 10, 64)
	s := &statement{noSlot: true, columns: []column{{name: "record", oid: oidText}}}
	s.stream = func(ctx context.Context, c *conn) (string, error) {
		c.backend.Send(rowDescription(s.columns, nil))
		at := catalog.Offset(from)
		for {
			records, changed, ok := c.server.store.recordsAfter(catalog.Term(term), at)
			if !ok {
				return "LOG", nil
			}
			for _, r := range records {
				text, err := json.Marshal(r)
				if err != nil {
					return "", err
				}
				c.backend.Send(&pgproto3.DataRow{Values: [][]byte{text}})
				at = r.EndOffset
			}
			if err := c.flush(); err != nil {
				return "", err
			}
			if len(records) == logBatchSize {
				continue
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return "", errCanceled
			}
		}
	}
	return s
}
