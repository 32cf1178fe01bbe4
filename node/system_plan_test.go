package node_test

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// readPlanLines calls a function with the number and the words of each line of a plan
// that is neither empty nor a comment. All of them must have the given number of words.
func readPlanLines(t *testing.T, path string, count int, handle func(line int, words []string)) {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	n := 0
	for lines := bufio.NewScanner(file); lines.Scan(); {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		if len(words) != count {
			t.Fatalf("%s: %q has not %d words", path, lines.Text(), count)
		}
		handle(n, words)
		n++
	}
}

// planDuration returns the duration that a word of a plan gives.
func planDuration(t *testing.T, word string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(word)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// explain puts the generated plan of a simulation in front of its violations.
func (w *simulation) explain(plan any) *simulation {
	if len(w.violations) > 0 {
		w.violations = append([]string{fmt.Sprintf("plan %+v", plan)}, w.violations...)
	}
	return w
}
