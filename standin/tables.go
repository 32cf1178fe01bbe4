package standin

import (
	"context"
	"fmt"
	"strconv"
	"strings"
)

// tableForms are the statements on tables.
func tableForms() []form {
	return []form{
		shape(`create (?:unlogged |temp )?table (?:if not exists )?<T>~\(.*\)`, createTable),
		shape(`insert into <T>~(?:\(~<K>~,~<K>~\)~)?values~\(~<V>~,~<V>~\)`+
			`(?:~on conflict~(?:\(~<K>~\)~)?do (nothing|update set <K>~=~excluded\.<K>))?`+
			`(?:~returning (<K>))?`, insert),
		shape(`update <T> set <K>~=~(?:<K>~([+-])~)?<V> where <K>~=~<V>(?: returning (<K>))?`, update),
		shape(`delete from <T>(?: where <K>~=~<V>)?(?: returning (<K>))?`, deleteRows),
		shape(`select (key~,~)?value from <T>(?: where <K>~=~<V>)?(?: order by key)?( for update)?`, read),
		shape(`select count\(~\*~\) from <T>`, count),
		shape(`copy <T>~(?:\([^)]*\)~)?from stdin`, copyIn),
		shape(`copy <T>~(?:\([^)]*\)~)?to stdout`, copyOut),
	}
}

func valueColumns(returning string) []column {
	if returning == "" {
		return nil
	}
	return []column{{name: strings.ToLower(returning), oid: oidText}}
}

// tagged builds the answer to a write of n rows.
func tagged(s *statement, verb string, n int, value string) result {
	r := result{tag: fmt.Sprintf("%s %d", verb, n)}
	if n > 0 && s.columns != nil {
		r.rows = [][]string{{value}}
	}
	return r
}

func createTable(_ []string) *statement {
	s := &statement{works: true}
	s.run = func(_ context.Context, c *conn, _ []string) (result, error) {
		t := c.transaction()
		t.store.mu.Lock()
		defer t.store.mu.Unlock()
		return result{tag: "CREATE TABLE"}, t.writable("CREATE TABLE")
	}
	return s
}

func insert(m []string) *statement {
	s := &statement{works: true, columns: valueColumns(m[5])}
	key := s.typed(parseOperand(m[2]), oidText)
	value := s.typed(parseOperand(m[3]), oidText)
	table, conflict := tableName(m[1]), strings.ToLower(m[4])
	s.run = func(ctx context.Context, c *conn, args []string) (result, error) {
		ch := change{Table: table, Key: key.value(args), Value: value.value(args)}
		n := 0
		err := c.write(ctx, "INSERT", ch, func(t *txn, _ string, there bool) error {
			if there && conflict == "" {
				return fail(codeDuplicate, "duplicate key value violates unique constraint %q", table+"_pkey")
			}
			if there && conflict == "nothing" {
				return nil
			}
			t.put(ch)
			n = 1
			return nil
		})
		r := tagged(s, "INSERT 0", n, ch.Value)
		if n > 0 && m[5] != "" && strings.EqualFold(strings.Trim(m[5], `"`), "key") {
			r.rows[0][0] = ch.Key
		}
		return r, err
	}
	return s
}

func update(m []string) *statement {
	s := &statement{works: true, columns: valueColumns(m[5])}
	table, sign := tableName(m[1]), m[2]
	valueOID := uint32(oidText)
	if sign != "" {
		valueOID = oidInt8
	}
	value := s.typed(parseOperand(m[3]), valueOID)
	key := s.typed(parseOperand(m[4]), oidText)
	s.run = func(ctx context.Context, c *conn, args []string) (result, error) {
		ch := change{Table: table, Key: key.value(args), Value: value.value(args)}
		n := 0
		err := c.write(ctx, "UPDATE", ch, func(t *txn, old string, there bool) error {
			if !there {
				return nil
			}
			if sign != "" {
				sum, err := add(old, sign, ch.Value)
				if err != nil {
					return err
				}
				ch.Value = sum
			}
			t.put(ch)
			n = 1
			return nil
		})
		return tagged(s, "UPDATE", n, ch.Value), err
	}
	return s
}

func add(old, sign, by string) (string, error) {
	a, err := strconv.ParseInt(old, 10, 64)
	if err != nil {
		return "", fail(codeInvalidText, "invalid input syntax for type bigint: %q", old)
	}
	b, err := strconv.ParseInt(by, 10, 64)
	if err != nil {
		return "", fail(codeInvalidText, "invalid input syntax for type bigint: %q", by)
	}
	if sign == "-" {
		b = -b
	}
	return strconv.FormatInt(a+b, 10), nil
}

func deleteRows(m []string) *statement {
	s := &statement{works: true, columns: valueColumns(m[3])}
	table, all := tableName(m[1]), m[2] == ""
	key := s.typed(parseOperand(m[2]), oidText)
	s.run = func(ctx context.Context, c *conn, args []string) (result, error) {
		gone := []string{}
		if all {
			gone = c.keys(table)
		} else {
			gone = append(gone, key.value(args))
		}
		n, last := 0, ""
		for _, k := range gone {
			ch := change{Table: table, Key: k, Deleted: true}
			err := c.write(ctx, "DELETE", ch, func(t *txn, old string, there bool) error {
				if there {
					t.put(ch)
					n, last = n+1, old
				}
				return nil
			})
			if err != nil {
				return result{}, err
			}
		}
		return tagged(s, "DELETE", n, last), nil
	}
	return s
}

func read(m []string) *statement {
	s := &statement{works: true, columns: []column{{name: "value", oid: oidText}}}
	withKey, table, one, forUpdate := m[1] != "", tableName(m[2]), m[3] != "", m[4] != ""
	if withKey {
		s.columns = []column{{name: "key", oid: oidText}, {name: "value", oid: oidText}}
	}
	key := s.typed(parseOperand(m[3]), oidText)
	s.run = func(ctx context.Context, c *conn, args []string) (result, error) {
		var pairs [][]string
		switch {
		case one && forUpdate:
			k := key.value(args)
			err := c.write(ctx, "SELECT FOR UPDATE", change{Table: table, Key: k},
				func(_ *txn, old string, there bool) error {
					if there {
						pairs = [][]string{{k, old}}
					}
					return nil
				})
			if err != nil {
				return result{}, err
			}
		case one:
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

func count(m []string) *statement {
	s := &statement{works: true, columns: []column{{name: "count", oid: oidInt8}}}
	table := tableName(m[1])
	s.run = func(_ context.Context, c *conn, _ []string) (result, error) {
		n := strconv.Itoa(len(c.keys(table)))
		return result{tag: "SELECT 1", rows: [][]string{{n}}}, nil
	}
	return s
}
