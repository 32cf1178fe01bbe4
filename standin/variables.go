package standin

import (
	"context"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// defaults are the session variables that every connection starts with.
var defaults = map[string]string{
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

// reported are the variables whose values clients are told, by the names that
// they are told under.
var reported = map[string]string{
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

// sessionForms are the statements on transactions and session variables.
func sessionForms() []form {
	return []form{
		shape(`(?:begin|start transaction)(?: work| transaction)?((?:[ ,~]*(?:isolation level `+
			`(?:serializable|repeatable read|read committed|read uncommitted)|read write|read only|`+
			`(?:not )?deferrable))*)`, beginBlock),
		shape(`(?:commit|end)(?: work| transaction)?`, commitBlock),
		shape(`(?:rollback|abort)(?: work| transaction)?`, rollbackBlock),
		shape(`set transaction .*`, func([]string) *statement { return simple("SET") }),
		shape(`set session characteristics .*`, func([]string) *statement { return simple("SET") }),
		shape(`set (local |session )?([\w.]+)~(?:=|to )~(.+)`, set),
		shape(`set (local |session )?time (zone) (.+)`, set),
		shape(`show ([\w.]+)`, show),
		shape(`select current_setting\(~'([\w.]+)'~\)`, show),
		shape(`select set_config\(~'([\w.]+)'~,~<V>~,~(true|false)~\)`, setConfig),
		shape(`(reset|discard) all`, resetAll),
		shape(`reset ([\w.]+)`, resetOne),
		shape(`discard (?:plans|sequences|temp|temporary)`, func([]string) *statement { return simple("DISCARD") }),
		shape(`deallocate (?:prepare )?(.+)`, deallocate),
	}
}

// simple builds a statement that only gives its tag.
func simple(tag string) *statement {
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
			return result{}, fail(codeReadOnly, "cannot set transaction read-write mode during recovery")
		}
		t := c.transaction()
		if strings.Contains(options, "read only") {
			t.readOnly = true
		}
		c.block = true
		return result{tag: "BEGIN"}, nil
	}
	return s
}

func commitBlock([]string) *statement {
	s := &statement{ends: true}
	s.run = func(_ context.Context, c *conn, _ []string) (result, error) {
		t, failed := c.txn, c.failed
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
	s := &statement{ends: true}
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
	c.txn, c.block, c.failed = nil, false, false
	for name, old := range c.local {
		c.setVariable(name, old)
	}
	c.local = map[string]string{}
}

func set(m []string) *statement {
	local := strings.EqualFold(strings.TrimSpace(m[1]), "local")
	value := strings.Trim(strings.TrimSpace(m[3]), `'"`)
	return setting("SET", strings.ToLower(m[2]), value, local)
}

func setConfig(m []string) *statement {
	value := parseOperand(m[2]).text
	s := setting("SELECT 1", strings.ToLower(m[1]), value, strings.EqualFold(m[3], "true"))
	s.columns = []column{{name: "set_config", oid: oidText}}
	run := s.run
	s.run = func(ctx context.Context, c *conn, args []string) (result, error) {
		r, err := run(ctx, c, args)
		r.rows = [][]string{{value}}
		return r, err
	}
	return s
}

func setting(tag, name, value string, local bool) *statement {
	if name == "zone" {
		name = "timezone"
	}
	return &statement{run: func(_ context.Context, c *conn, _ []string) (result, error) {
		if _, ok := c.local[name]; local && !ok && c.block {
			c.local[name] = c.vars[name]
		}
		c.setVariable(name, value)
		return result{tag: tag}, nil
	}}
}

// setVariable sets a variable and tells the client of it if it must be told.
func (c *conn) setVariable(name, value string) {
	if value == "DEFAULT" || value == "default" {
		value = c.initial[name]
	}
	c.vars[name] = value
	if shown, ok := reported[name]; ok {
		c.back.Send(&pgproto3.ParameterStatus{Name: shown, Value: value})
	}
}

func show(m []string) *statement {
	name := strings.ToLower(m[1])
	s := &statement{columns: []column{{name: m[1], oid: oidText}}}
	s.run = func(_ context.Context, c *conn, _ []string) (result, error) {
		value, ok := c.vars[name]
		if name == "transaction_read_only" || name == "in_hot_standby" {
			role, _ := c.server.store.status()
			value, ok = onOff(role == catalog.RoleReplica || c.txn != nil && c.txn.readOnly), true
		}
		if !ok {
			return result{}, fail("42704", "unrecognized configuration parameter %q", name)
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
	return setting("RESET", strings.ToLower(m[1]), "DEFAULT", false)
}

func resetAll(m []string) *statement {
	s, tag := &statement{}, "RESET"
	discard := strings.EqualFold(m[1], "discard")
	if discard {
		tag = "DISCARD ALL"
	}
	s.run = func(_ context.Context, c *conn, _ []string) (result, error) {
		for name, v := range c.vars {
			if was, ok := c.initial[name]; !ok {
				delete(c.vars, name)
			} else if was != v {
				c.setVariable(name, was)
			}
		}
		if discard {
			c.prepared = map[string]*prepared{}
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
			c.prepared = map[string]*prepared{}
		} else {
			delete(c.prepared, name)
		}
		return result{tag: "DEALLOCATE"}, nil
	}
	return s
}
