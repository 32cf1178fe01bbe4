package link

import (
	"bufio"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// Frames of earlier builds, which run beside this one during an upgrade, must be read
// as they were meant.
func TestFramesOfEarlierBuilds(t *testing.T) {
	paths, err := filepath.Glob("testdata/frames/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no frames: %v", err)
	}
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		for lines := bufio.NewScanner(f); lines.Scan(); {
			data, err := hex.DecodeString(lines.Text())
			if err != nil {
				t.Fatal(err)
			}
			m, err := Decode(data)
			if err != nil {
				t.Errorf("%s: %v", path, err)
				continue
			}
			again, err := Encode(m)
			if err != nil || string(again) != string(data) {
				t.Errorf("%s: %x is encoded as %x (%v)", path, data, again, err)
			}
		}
		_ = f.Close()
	}
}

// A later build may add fields and kinds of messages. They must not end the
// connection, or no message passes while both builds run.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	data, err := cbor.Marshal(map[int]any{1: map[int]any{1: "e1", 2: "s1", 3: 7, 4: 9, 5: 3, 99: "later"}})
	if err != nil {
		t.Fatal(err)
	}
	m, err := Decode(data)
	if err != nil || m.Report == nil || m.Report.VM != "e1" || m.Report.Sequence != 9 {
		t.Errorf("got %+v, %v", m, err)
	}
	if data, err = cbor.Marshal(map[int]any{98: map[int]any{1: "later"}}); err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(data); !errors.Is(err, ErrUnknownKind) {
		t.Errorf("a message of an unknown kind: %v", err)
	}
}

// A peer that names no features ends the connection at a field that it doesn't know,
// so it must not be sent the fields that it can do without.
func TestPeersGetWhatTheyKnow(t *testing.T) {
	report := wire.Message{Report: &wire.Report{VM: "e1", Work: []wire.ServiceWork{{Service: "a", Asked: 1}}, SpentEpochs: []wire.ServiceEpoch{{Service: "a", Epoch: 1}}}}
	answer := wire.Message{Answer: &wire.Answer{Leader: "c1", SiteShares: []wire.SiteShare{{Service: "a"}}}}
	if m := report.ForPeer(nil); m.Report.Work != nil || report.Report.Work == nil {
		t.Error("an earlier build was sent the work of services")
	}
	if m := report.ForPeer(nil); m.Report.SpentEpochs != nil || report.Report.SpentEpochs == nil {
		t.Error("an earlier build was sent spent epochs")
	}
	if m := answer.ForPeer(nil); m.Answer.SiteShares != nil || answer.Answer.SiteShares == nil {
		t.Error("an earlier build was sent shares of sites")
	}
	if m := report.ForPeer(wire.OwnFeatures()); m.Report.Work == nil || m.Report.SpentEpochs == nil {
		t.Error("a build with the feature was not sent the work of services and spent epochs")
	}
}

// Both sides of a connection must learn what the other side knows.
func TestFeaturesAreExchanged(t *testing.T) {
	peers := map[catalog.VMID]string{}
	a, _, _ := startHub(t, "a", "key", peers)
	b, got, _ := startHub(t, "b", "key", peers)
	a.Send("b", wire.Message{Report: &wire.Report{VM: "a"}})
	select {
	case <-got:
	case <-time.After(5 * time.Second):
		t.Fatal("no message arrived")
	}
	if !a.featuresOf("b").Has(wire.FeatureUnknownFields) || !b.featuresOf("a").Has(wire.FeatureUnknownFields) {
		t.Errorf("a knows %q of b, b knows %q of a", a.featuresOf("b"), b.featuresOf("a"))
	}
}

// A peer that is replaced by an earlier build must lose the features of the later one.
func TestFeaturesOfAnEarlierBuild(t *testing.T) {
	peers := map[catalog.VMID]string{}
	h, _, _ := startHub(t, "a", "key", peers)
	h.setFeatures("b", ownFeatures())
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, err := websocket.Accept(w, r, nil); err == nil {
			_ = c.CloseNow()
		}
	}))
	t.Cleanup(s.Close)
	peers["b"] = strings.TrimPrefix(s.URL, "http://")
	_, _ = h.dial(t.Context(), "b", PeerPath)
	if f := h.featuresOf("b"); len(f) != 0 {
		t.Errorf("still has %q", f)
	}
}
