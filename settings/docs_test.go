package settings

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// TestDocs checks that the operators' page documents every key, so that no key
// is added without documentation.
func TestDocs(t *testing.T) {
	text, err := os.ReadFile("../docs/operators/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	element := regexp.MustCompile(`\[[^]]*\]`)
	for key := range Default().Origins {
		plain := element.ReplaceAllString(key, "")
		last := plain[strings.LastIndex(plain, ".")+1:]
		page := string(text)
		if !strings.Contains(page, "| `"+plain+"`") && !strings.Contains(page, "| `"+last+"`") &&
			!strings.HasPrefix(plain, "control.members.") {
			t.Errorf("the page doesn't describe %s", key)
		}
	}
}
