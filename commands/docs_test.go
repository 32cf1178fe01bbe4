package commands

import (
	"os"
	"strings"
	"testing"
)

// TestDocs checks that the operators' page and the manual page document every
// command, so that no command is added without documentation.
func TestDocs(t *testing.T) {
	for _, page := range []string{"../docs/operators/commands.md", "../man/kingcupknot.1.md"} {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range registry {
			if !strings.Contains(string(text), "\n| `"+c.path) && !strings.Contains(string(text), "\n**"+c.path+"**") {
				t.Errorf("%s doesn't describe %s", page, c.path)
			}
		}
	}
}
