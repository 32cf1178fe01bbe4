package standin

import (
	"context"
	"fmt"
	"strconv"
	"strings"
)

// tableRules returns the rules for statements on tables.
func tableRules() []rule {
	return []rule{
		newRule(`create (?:unlogged |temp )?table (?:if not exists )?<T>~\(.*\)`, createTable),
		newRule(`insert into <T>~(?:\(~<K>~,~<K>~\)~)?values~\(~<V>~,~<V>~\)`+
			`(?:~on conflict~(?:\(~<K>~\)~)?do (nothing|update set <K>~=~excluded\.<K>))?`+
			`(?:~returning (<K>))?`, insertRow),
		newRule(`update <T> set <K>~=~(?:<K>~([+-])~)?<V> where <K>~=~<V>(?: returning (<K>))?`, updateRow),
		newRule(`delete from <T>(?: where <K>~=~<V>)?(?: returning (<K>))?`, deleteRows),
		newRule(`select (key~,~)?value from <T>(?: where <K>~=~<V>)?(?: order by key)?( for update)?`, selectRows),
		newRule(`select count\(~\*~\) from <T>`, countRows),
		newRule(`copy <T>~(?:\([^)]*\)~)?from stdin`, copyIn),
		newRule(`copy <T>~(?:\([^)]*\)~)?to stdout`, copyOut),
	}
}

func returningColumns(returning string) []column {
	if returning == "" {
		return nil
	}
	return []column{{name: strings.ToLower(returning), oid: oidText}}
}

// writeResult returns the result of a write that changed n rows. If the
// statement has RETURNING, the result holds the value.
func writeResult(s *statement, verb string, n int, value string) result {
	r := result{tag: fmt.Sprintf("%s %d", verb, n)}
	if n > 0 && s.columns != nil {
		r.rows = [][]string{{value}}
	}
	return r
}

// createTable accepts any definition of a table. Every table has the columns key
// and value, and exists without CREATE TABLE, too.
func createTable(_ []string) *statement {
	s := &statement{delayed: true}
	s.run = func(_ context.Context, c *conn, _ []string) (result, error) {
		t := c.transaction()
		t.store.mu.Lock()
		defer t.store.mu.Unlock()
		return result{tag: "CREATE TABLE"}, t.checkWritable("CREATE TABLE")
	}
	return s
}

func insertRow(m []string) *statement {
	s := &statement{delayed: true, columns: returningColumns(m[5])}
	key := s.setParamType(parseOperand(m[2]), oidText)
	value := s.setParamType(parseOperand(m[3]), oidText)
	table, conflict := tableName(m[1]), strings.ToLower(m[4])
	s.run = func(ctx context.Context, c *conn, args []string) (result, error) {
		ch := change{Table: table, Key: key.value(args), Value: value.value(args)}
		n := 0
		err := c.writeRow(ctx, "INSERT", ch, func(t *txn, _ string, exists bool) error {
			if exists && conflict == "" {
				return newSQLError(codeUniqueViolation, "duplicate key value violates unique constraint %q", table+"_pkey")
			}
			if exists && conflict == "nothing" {
				return nil
			}
			t.addChange(ch)
			n = 1
			return nil
		})
		r := writeResult(s, "INSERT 0", n, ch.Value)
		if n > 0 && m[5] != "" && strings.EqualFold(strings.Trim(m[5], `"`), "key") {
			r.rows[0][0] = ch.Key
		}
		return r, err
	}
	return s
}

func updateRow(m []string) *statement {
	s := &statement{delayed: true, columns: returningColumns(m[5])}
	table, sign := tableName(m[1]), m[2]
	valueOID := uint32(oidText)
	if sign != "" {
		valueOID = oidInt8
	}
	value := s.setParamType(parseOperand(m[3]), valueOID)
	key := s.setParamType(parseOperand(m[4]), oidText)
	s.run = func(ctx context.Context, c *conn, args []string) (result, error) {
		ch := change{Table: table, Key: key.value(args), Value: value.value(args)}
		n := 0
		err := c.writeRow(ctx, "UPDATE", ch, func(t *txn, old string, exists bool) error {
			if !exists {
				return nil
			}
			if sign != "" {
				sum, err := addIntegers(old, sign, ch.Value)
				if err != nil {
					return err
				}
				ch.Value = sum
			}
			t.addChange(ch)
			n = 1
			return nil
		})
		return writeResult(s, "UPDATE", n, ch.Value), err
	}
	return s
}

func addIntegers(old, sign, by string) (string, error) {
	a, err := strconv.ParseInt(old, 10, 64)
	if err != nil {
		return "", newSQLError(codeInvalidText, "invalid input syntax for type bigint: %q", old)
	}
	b, err := strconv.ParseInt(by, 10, 64)
	if err != nil {
		return "", newSQLError(codeInvalidText, "invalid input syntax for type bigint: %q", by)
	}
	if sign == "-" {
		b = -b
	}
	return strconv.FormatInt(a+b, 10), nil
}

func deleteRows(m []string) *statement {
	s := &statement{delayed: true, columns: returningColumns(m[3])}
	table, all := tableName(m[1]), m[2] == ""
	key := s.setParamType(parseOperand(m[2]), oidText)
	s.run = func(ctx context.Context, c *conn, args []string) (result, error) {
		deletedKeys := []string{}
		if all {
			deletedKeys = c.tableKeys(table)
		} else {
			deletedKeys = append(deletedKeys, key.value(args))
		}
		n, last := 0, ""
		for _, k := range deletedKeys {
			ch := change{Table: table, Key: k, Deleted: true}
			err := c.writeRow(ctx, "DELETE", ch, func(t *txn, old string, exists bool) error {
				if exists {
					t.addChange(ch)
					n, last = n+1, old
				}
				return nil
			})
			if err != nil {
				return result{}, err
			}
		}
		return writeResult(s, "DELETE", n, last), nil
	}
	return s
}

func selectRows(m []string) *statement {
	s := &statement{delayed: true, columns: []column{{name: "value", oid: oidText}}}
	withKey, table, byKey, forUpdate := m[1] != "", tableName(m[2]), m[3] != "", m[4] != ""
	if withKey {
		s.columns = []column{{name: "key", oid: oidText}, {name: "value", oid: oidText}}
	}
	key := s.setParamType(parseOperand(m[3]), oidText)
	s.run = func(ctx context.Context, c *conn, args []string) (result, error) {
		var pairs [][]string
		switch {
		case byKey && forUpdate:
			k := key.value(args)
			err := c.writeRow(ctx, "SELECT FOR UPDATE", change{Table: table, Key: k},
				func(_ *txn, old string, exists bool) error {
					if exists {
						pairs = [][]string{{k, old}}
					}
					return nil
				})
			if err != nil {
				return result{}, err
			}
		case byKey:
			pairs = c.row(table, key.value(args))
		default:
			pairs = c.rows(table)
		}
		if !withKey {
			for i := range pairs {
				pairs[i] = pairs[i][1:]
			}
		}
		return result{tag: fmt.Sprintf("SELECT %d", len(pairs)), rows: pairs}, nil
	}
	return s
}

func countRows(m []string) *statement {
	s := &statement{delayed: true, columns: []column{{name: "count", oid: oidInt8}}}
	table := tableName(m[1])
	s.run = func(_ context.Context, c *conn, _ []string) (result, error) {
		n := strconv.Itoa(len(c.tableKeys(table)))
		return result{tag: "SELECT 1", rows: [][]string{{n}}}, nil
	}
	return s
}
