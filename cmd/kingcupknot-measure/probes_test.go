package main

import (
	"os"
	"path/filepath"
	"testing"
)

// TestStatsWithoutAnswers guards against figures that count as measured although no
// instance answered.
func TestStatsWithoutAnswers(t *testing.T) {
	facts := filepath.Join(t.TempDir(), "facts")
	c := &statsCommand{factOptions: factOptions{Facts: facts, User: "cumbres"}, Upstream: []string{"127.0.0.1:1"}, Connections: 1, Slots: 1}
	if err := c.Execute(nil); err != nil {
		t.Fatal(err)
	}
	if data, err := os.ReadFile(facts); err == nil {
		t.Errorf("figures without an answer: %s", data)
	}
}
