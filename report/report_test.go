package report

import (
	"bytes"
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
)

// TestReports reads the logs of each archive in testdata and compares the report
// with the archive's file report. The archive's comment is "WINDOW KEY".
func TestReports(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatal("no archives", err)
	}
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			a, err := txtar.ParseFile(name)
			if err != nil {
				t.Fatal(err)
			}
			words := strings.Fields(string(a.Comment))
			window, err := time.ParseDuration(words[0])
			if err != nil {
				t.Fatal(err)
			}
			d, want := &Reader{}, ""
			for _, f := range a.Files {
				if f.Name == "report" {
					want = string(f.Data)
					continue
				}
				if err := d.Read(f.Name, bytes.NewReader(f.Data)); err != nil {
					t.Fatal(err)
				}
			}
			got, err := json.MarshalIndent(d.Report(window, Key(words[1])), "", " ")
			if err != nil {
				t.Fatal(err)
			}
			if strings.TrimSpace(string(got)) != strings.TrimSpace(want) {
				t.Errorf("got:\n%s", got)
			}
		})
	}
}

// TestTooLongLine guards against a report that ends without saying that a part of
// the log was not read.
func TestTooLongLine(t *testing.T) {
	d := &Reader{}
	if err := d.Read("log", strings.NewReader(strings.Repeat("x", maxLineBytes+1))); err == nil || !strings.Contains(err.Error(), "log") {
		t.Errorf("no error that names the file: %v", err)
	}
}
