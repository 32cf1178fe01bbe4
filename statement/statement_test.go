package statement

import (
	"bufio"
	"os"
	"strings"
	"testing"

	"github.com/kingcupknot/kingcupknot/node"
)

var kindNames = map[node.RequestKind]string{
	node.KindRead:      "read",
	node.KindWrite:     "write",
	node.KindBegin:     "begin",
	node.KindBeginRead: "begin-read",
}

// TestStatements reads lines of "what | sql" from testdata. What is a kind, or
// refused, local, mixed or end.
func TestStatements(t *testing.T) {
	f, err := os.Open("testdata/statements.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		want, sql, ok := strings.Cut(lines.Text(), "|")
		if !ok {
			continue
		}
		sql = strings.ReplaceAll(strings.TrimSpace(sql), `\n`, "\n")
		if got := describe(Parse(sql)); got != strings.TrimSpace(want) {
			t.Errorf("%s: got %s, want %s", sql, got, want)
		}
	}
}

func describe(b Batch) string {
	if _, refused := b.FirstRefused(false); refused {
		return "refused"
	}
	local, mixed := b.Local()
	switch {
	case local:
		return "local"
	case mixed:
		return "mixed"
	case b.Ends():
		return "end"
	}
	return kindNames[b.Kind()]
}

func TestSettings(t *testing.T) {
	for sql, want := range map[string]Statement{
		"SET kingcupknot.session = 'a b'":        {Name: "kingcupknot.session", Value: "a b"},
		"set kingcupknot.class TO booking;":      {Name: "kingcupknot.class", Value: "booking"},
		`SET "kingcupknot"."session" = 'x'`:      {Name: "kingcupknot.session", Value: "x"},
		"SET SESSION application_name = 'it''s'": {Name: "application_name", Value: "it's"},
		"SET extra_float_digits = 3":             {Name: "extra_float_digits", Value: "3"},
		"SET DateStyle = ISO, MDY":               {Name: "datestyle", Value: "ISO, MDY"},
	} {
		got := Parse(sql).Statements[0]
		if got.Action != ActionSet || got.Name != want.Name || got.Value != want.Value {
			t.Errorf("%s: got %+v", sql, got)
		}
	}
}

func TestHints(t *testing.T) {
	got := Hints(" /* kingcupknot: session=a, token=1.xy_z-, max-age=500ms */ SELECT 1")
	want := []Hint{{"session", "a"}, {"token", "1.xy_z-"}, {"max-age", "500ms"}}
	if len(got) != len(want) {
		t.Fatalf("got %v", got)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("got %v, want %v", got[i], want[i])
		}
	}
	for _, sql := range []string{"SELECT 1 /* kingcupknot: session=a */", "/* other */ SELECT 1", "/* kingcupknot: session=a"} {
		if got := Hints(sql); got != nil {
			t.Errorf("%s: got %v", sql, got)
		}
	}
}

func FuzzParse(f *testing.F) {
	text, err := os.ReadFile("testdata/statements.txt")
	if err != nil {
		f.Fatal(err)
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		_, sql, _ := strings.Cut(line, "|")
		f.Add(sql)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		b := Parse(sql)
		if kind := b.Kind(); kindNames[kind] == "" {
			t.Fatalf("%q: kind %d", sql, kind)
		}
		// A comment before it changes nothing.
		if got, want := describe(Parse("/* a */"+sql)), describe(b); got != want {
			t.Fatalf("%q: %s with a comment, %s without", sql, got, want)
		}
	})
}
