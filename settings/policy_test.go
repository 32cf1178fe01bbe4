package settings

import (
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
)

func TestPolicy(t *testing.T) {
	if got := Default().Policy; got != (Policy{Reads: ReadsReplicas, Shares: SharesByDemand}) {
		t.Errorf("the default is %+v", got)
	}
	text := string(DefaultText()) + "\n[policy]\nreads = \"primary\"\nshares = \"equal\"\n"
	s, found := archiveLoader(txtar.Parse([]byte("-- base.toml --\n"+text))).Load(BaseName, "")
	if len(found) > 0 {
		t.Fatal(found)
	}
	if s.Policy != (Policy{Reads: ReadsPrimary, Shares: SharesEqual}) {
		t.Errorf("read as %+v", s.Policy)
	}
}
