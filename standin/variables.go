package standin

import (
	"context"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// defaultVars holds the initial session variables of every connection.
var defaultVars = map[string]string{
	"application_name":              "",
	"client_encoding":               "UTF8",
	"datestyle":                     "ISO, MDY",
	"default_transaction_read_only": "off",
	"integer_datetimes":             "on",
	"intervalstyle":                 "postgres",
	"is_superuser":                  "on",
	"server_encoding":               "UTF8",
	"server_version":                "16.0",
	"standard_conforming_strings":   "on",
	"timezone":                      "UTC",
}

// reportedVars maps each variable that is reported to the client to its name in
// ParameterStatus messages.
var reportedVars = map[string]string{
	"application_name":              "application_name",
	"client_encoding":               "client_encoding",
	"datestyle":                     "DateStyle",
	"default_transaction_read_only": "default_transaction_read_only",
	"integer_datetimes":             "integer_datetimes",
	"intervalstyle":                 "IntervalStyle",
	"is_superuser":                  "is_superuser",
	"server_encoding":               "server_encoding",
	"server_version":                "server_version",
	"standard_conforming_strings":   "standard_conforming_strings",
	"timezone":                      "TimeZone",
}

// sessionRules returns the rules for statements on transactions and session
// variables.
func sessionRules() []rule {
	return []rule{
		newRule(`(?:begin|start transaction)(?: work| transaction)?((?:[ ,~]*(?:isolation level `+
			`(?:serializable|repeatable read|read committed|read uncommitted)|read write|read only|`+
			`(?:not )?deferrable))*)`, beginBlock),
		newRule(`(?:commit|end)(?: work| transaction)?`, commitBlock),
		newRule(`(?:rollback|abort)(?: work| transaction)?`, rollbackBlock),
		newRule(`set transaction .*`, func([]string) *statement { return tagOnly("SET") }),
		newRule(`set session characteristics .*`, func([]string) *statement { return tagOnly("SET") }),
		newRule(`set (local |session )?([\w.]+)~(?:=|to )~(.+)`, setVar),
		newRule(`set (local |session )?time (zone) (.+)`, setVar),
		newRule(`show ([\w.]+)`, showVar),
		newRule(`select current_setting\(~'([\w.]+)'~\)`, showVar),
		newRule(`select set_config\(~'([\w.]+)'~,~<V>~,~(true|false)~\)`, setConfig),
		newRule(`(reset|discard) all`, resetAll),
		newRule(`reset ([\w.]+)`, resetOne),
		newRule(`discard (?:plans|sequences|temp|temporary)`, func([]string) *statement { return tagOnly("DISCARD") }),
		newRule(`deallocate (?:prepare )?(.+)`, deallocate),
	}
}

// tagOnly builds a statement that does nothing and returns its command tag.
func tagOnly(tag string) *statement {
	return &statement{run: func(context.Context, *conn, []string) (result, error) {
		return result{tag: tag}, nil
	}}
}

func beginBlock(m []string) *statement {
	options := strings.Join(strings.Fields(strings.ToLower(m[1])), " ")
	s := &statement{}
	s.run = func(_ context.Context, c *conn, _ []string) (result, error) {
		role, _ := c.server.store.status()
		if strings.Contains(options, "read write") && role == catalog.RoleReplica {
			return result{}, newSQLError(codeReadOnly, "cannot set transaction read-write mode during recovery")
		}
		t := c.transaction()
		if strings.Contains(options, "read only") {
			t.readOnly = true
		}
		c.inBlock = true
		return result{tag: "BEGIN"}, nil
	}
	return s
}

func commitBlock([]string) *statement {
	s := &statement{endsBlock: true}
	s.run = func(_ context.Context, c *conn, _ []string) (result, error) {
		t, failed := c.txn, c.blockFailed
		c.endBlock()
		if failed {
			return result{tag: "ROLLBACK"}, nil
		}
		if t == nil {
			return result{tag: "COMMIT"}, nil
		}
		return result{tag: "COMMIT"}, t.commit()
	}
	return s
}

func rollbackBlock([]string) *statement {
	s := &statement{endsBlock: true}
	s.run = func(_ context.Context, c *conn, _ []string) (result, error) {
		if c.txn != nil {
			c.txn.rollback()
		}
		c.endBlock()
		return result{tag: "ROLLBACK"}, nil
	}
	return s
}

func (c *conn) endBlock() {
	c.txn, c.inBlock, c.blockFailed = nil, false, false
	for name, old := range c.savedVars {
		c.setVariable(name, old)
	}
	c.savedVars = map[string]string{}
}

func setVar(m []string) *statement {
	local := strings.EqualFold(strings.TrimSpace(m[1]), "local")
	value := strings.Trim(strings.TrimSpace(m[3]), `'"`)
	return setStatement("SET", strings.ToLower(m[2]), value, local)
}

func setConfig(m []string) *statement {
	value := parseOperand(m[2]).text
	s := setStatement("SELECT 1", strings.ToLower(m[1]), value, strings.EqualFold(m[3], "true"))
	s.columns = []column{{name: "set_config", oid: oidText}}
	run := s.run
	s.run = func(ctx context.Context, c *conn, args []string) (result, error) {
		r, err := run(ctx, c, args)
		r.rows = [][]string{{value}}
		return r, err
	}
	return s
}

func setStatement(tag, name, value string, local bool) *statement {
	if name == "zone" {
		name = "timezone"
	}
	return &statement{run: func(_ context.Context, c *conn, _ []string) (result, error) {
		if _, ok := c.savedVars[name]; local && !ok && c.inBlock {
			c.savedVars[name] = c.vars[name]
		}
		c.setVariable(name, value)
		return result{tag: tag}, nil
	}}
}

// setVariable sets a session variable, or resets it if the value is DEFAULT. It
// reports the change to the client if the variable is in reportedVars.
func (c *conn) setVariable(name, value string) {
	if value == "DEFAULT" || value == "default" {
		value = c.initialVars[name]
	}
	c.vars[name] = value
	if reportedName, ok := reportedVars[name]; ok {
		c.backend.Send(&pgproto3.ParameterStatus{Name: reportedName, Value: value})
	}
}

func showVar(m []string) *statement {
	name := strings.ToLower(m[1])
	s := &statement{columns: []column{{name: m[1], oid: oidText}}}
	s.run = func(_ context.Context, c *conn, _ []string) (result, error) {
		value, ok := c.vars[name]
		if name == "transaction_read_only" || name == "in_hot_standby" {
			role, _ := c.server.store.status()
			value, ok = onOff(role == catalog.RoleReplica || c.txn != nil && c.txn.readOnly), true
		}
		if !ok {
			return result{}, newSQLError("42704", "unrecognized configuration parameter %q", name)
		}
		return result{tag: "SHOW", rows: [][]string{{value}}}, nil
	}
	return s
}

func onOff(b bool) string {
	if b {
		return "on"
	}
	return "off"
}

func resetOne(m []string) *statement {
	return setStatement("RESET", strings.ToLower(m[1]), "DEFAULT", false)
}

func resetAll(m []string) *statement {
	s, tag := &statement{}, "RESET"
	discard := strings.EqualFold(m[1], "discard")
	if discard {
		tag = "DISCARD ALL"
	}
	s.run = func(_ context.Context, c *conn, _ []string) (result, error) {
		for name, v := range c.vars {
			if initial, ok := c.initialVars[name]; !ok {
				delete(c.vars, name)
			} else if initial != v {
				c.setVariable(name, initial)
			}
		}
		if discard {
			c.prepared = map[string]*preparedStatement{}
		}
		return result{tag: tag}, nil
	}
	return s
}

func deallocate(m []string) *statement {
	name := strings.Trim(m[1], `"`)
	s := &statement{}
	s.run = func(_ context.Context, c *conn, _ []string) (result, error) {
		if strings.EqualFold(name, "all") {
			c.prepared = map[string]*preparedStatement{}
		} else {
			delete(c.prepared, name)
		}
		return result{tag: "DEALLOCATE"}, nil
	}
	return s
}
