package statement

import (
	"strings"

	"github.com/kingcupknot/kingcupknot/node"
)

// SettingPrefix is the prefix of the names of kingcupknot's own settings.
const SettingPrefix = "kingcupknot."

// unrestrictedSettings may have any value, because they don't change the results
// of statements.
var unrestrictedSettings = map[string]bool{
	"application_name":    true,
	"extra_float_digits":  true,
	"client_min_messages": true,
}

// fixedSettings lists the accepted values of settings that callers can't change:
// the spellings of the value that upstreams use anyway.
var fixedSettings = map[string][]string{
	"client_encoding":                     {"utf8", "utf-8", "unicode"},
	"datestyle":                           {"iso", "iso, mdy"},
	"timezone":                            {"utc", "default", "gmt", "etc/utc"},
	"standard_conforming_strings":         {"on", "true", "yes", "1"},
	"intervalstyle":                       {"postgres"},
	"idle_in_transaction_session_timeout": {"0"},
	"statement_timeout":                   {"0"},
	"lock_timeout":                        {"0"},
}

// CanSet reports whether a caller may set the setting to the value. If not, the
// second result tells the caller what to do instead.
func CanSet(name, value string) (bool, string) {
	if strings.HasPrefix(name, SettingPrefix) || unrestrictedSettings[name] {
		return true, ""
	}
	for _, v := range fixedSettings[name] {
		if strings.EqualFold(v, value) {
			return true, ""
		}
	}
	if name == "statement_timeout" {
		return false, "set kingcupknot.deadline in place of statement_timeout, or use SET LOCAL in a transaction"
	}
	return false, "setting " + name + " would stay on a connection that callers share; " +
		"use SET LOCAL in a transaction, or ALTER ROLE at the upstream"
}

func classifySet(t []token) Statement {
	i := 1
	switch wordAt(t, 1) {
	case "LOCAL":
		if name, _ := parseSettingName(t[2:]); strings.HasPrefix(name, SettingPrefix) {
			return refusedStatement("SET LOCAL has no effect on settings of kingcupknot; use SET")
		}
		s := Statement{Kind: node.KindWrite}
		return s
	case "TRANSACTION", "CONSTRAINTS":
		return Statement{Kind: node.KindWrite}
	case "SESSION":
		if wordAt(t, 2) == "CHARACTERISTICS" || wordAt(t, 2) == "AUTHORIZATION" {
			return refusedStatement("this would stay on a connection that callers share; state it in BEGIN, or connect as the other user")
		}
		i = 2
	case "ROLE":
		return refusedStatement("a role would stay on a connection that callers share; use SET LOCAL ROLE in a transaction")
	}
	name, rest := parseSettingName(t[i:])
	value := joinSettingValue(rest)
	if ok, advice := CanSet(name, value); !ok {
		return refusedStatement(advice)
	}
	return Statement{Action: ActionSet, Name: name, Value: value, CommandTag: "SET"}
}

// parseSettingName returns the lower-case name of a setting, which may contain
// dots, and the tokens after the name and its "=" or TO.
func parseSettingName(t []token) (string, []token) {
	if wordAt(t, 0) == "TIME" && wordAt(t, 1) == "ZONE" {
		return "timezone", t[2:]
	}
	var name strings.Builder
	i := 0
	for ; i < len(t); i++ {
		if t[i].Text == "=" || t[i].Text == "TO" && t[i].Kind == tokenWord {
			i++
			break
		}
		name.WriteString(strings.ToLower(t[i].Text))
	}
	return name.String(), t[i:]
}

// joinSettingValue joins the tokens of a setting's value.
func joinSettingValue(t []token) string {
	if len(t) == 1 && t[0].Kind == tokenString {
		return t[0].Text
	}
	var value strings.Builder
	for i, k := range t {
		if k.Text == "," {
			value.WriteString(", ")
			continue
		}
		if i > 0 && t[i-1].Kind == tokenWord && k.Kind == tokenWord {
			value.WriteByte(' ')
		}
		if k.Kind == tokenString {
			value.WriteString(k.Text)
			continue
		}
		value.WriteString(k.Raw)
	}
	return value.String()
}

// classifyReset classifies RESET, DISCARD and DEALLOCATE.
func classifyReset(t []token) Statement {
	all := wordAt(t, 1) == "ALL" || wordAt(t, 2) == "ALL"
	switch t[0].Text {
	case "DISCARD":
		if all {
			return Statement{Action: ActionDropPrepared, CommandTag: "DISCARD ALL"}
		}
		return refusedStatement("DISCARD works on one connection, which callers share; use DISCARD ALL, which the entry answers")
	case "DEALLOCATE":
		if all {
			return Statement{Action: ActionDropPrepared, CommandTag: "DEALLOCATE ALL"}
		}
		return refusedStatement("DEALLOCATE in SQL belongs to one connection; close the statement through the protocol of your driver")
	}
	if all {
		return Statement{Action: ActionSet, CommandTag: "RESET"}
	}
	name, _ := parseSettingName(t[1:])
	if strings.HasPrefix(name, SettingPrefix) || unrestrictedSettings[name] || fixedSettings[name] != nil {
		return Statement{Action: ActionSet, Name: name, CommandTag: "RESET"}
	}
	return refusedStatement("RESET works on a connection that callers share; nothing can be set on it, so leave it out")
}

func classifyShow(t []token) Statement {
	name, _ := parseSettingName(t[1:])
	if strings.HasPrefix(name, SettingPrefix) {
		return Statement{Action: ActionShow, Name: name, CommandTag: "SHOW"}
	}
	return Statement{Kind: node.KindRead}
}
