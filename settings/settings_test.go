package settings

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// archiveLoader returns a Loader that reads the files of a txtar archive. If
// the archive has no base.toml, the embedded one is used. The file
// "environment" is the value of every environment variable.
func archiveLoader(a *txtar.Archive) Loader {
	files := map[string][]byte{BaseName: embeddedBase}
	for _, f := range a.Files {
		files[f.Name] = f.Data
	}
	return Loader{
		ReadFile: func(name string) ([]byte, error) {
			if text, ok := files[name]; ok {
				return text, nil
			}
			return nil, errors.New("no such file")
		},
		Getenv: func(string) string { return strings.TrimSpace(string(files["environment"])) },
	}
}

// TestFindings loads the archives of testdata and compares the findings with
// the file "findings". An archive has a base.toml, an overlay.toml, or both, and
// "overlay-name" can name an overlay that is missing.
func TestFindings(t *testing.T) {
	names, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(names) == 0 {
		t.Fatalf("no archives: %v", err)
	}
	for _, n := range names {
		t.Run(strings.TrimSuffix(filepath.Base(n), ".txtar"), func(t *testing.T) {
			a, err := txtar.ParseFile(n)
			if err != nil {
				t.Fatal(err)
			}
			overlay, want := "", ""
			for _, f := range a.Files {
				switch f.Name {
				case "overlay.toml":
					overlay = f.Name
				case "overlay-name":
					overlay = strings.TrimSpace(string(f.Data))
				case "findings":
					want = string(f.Data)
				}
			}
			s, found := archiveLoader(a).Load(BaseName, overlay)
			var got strings.Builder
			for _, f := range found {
				got.WriteString(f.String() + "\n")
			}
			if got.String() != want {
				t.Errorf("got:\n%swant:\n%s", got.String(), want)
			}
			if (s == nil) != (len(found) > 0) {
				t.Errorf("settings %v with %d findings", s != nil, len(found))
			}
		})
	}
}

const overlayText = `-- overlay.toml --
site = "muscat-2"
[log]
level = "error"
[[vm]]
name = "muscat-2-entry-1"
caller-address = "127.0.0.1:9999"
[[vm]]
name = "muscat-2-entry-3"
site = "muscat-2"
role = "entry"
caller-address = "127.0.0.1:9001"
peer-address = "127.0.0.1:9002"
admin-address = "127.0.0.1:9003"
`

func TestLoad(t *testing.T) {
	Convey("the embedded settings are complete", t, func() {
		s := Default()
		So(s.Timings, ShouldResemble, catalog.DefaultTimings())
		So(s.Statements, ShouldResemble, catalog.DefaultStatements())
		So(len(s.Control.Members), ShouldEqual, 3)
		So(len(s.VMs), ShouldEqual, 9)
		So(len(s.AdminAddresses(RoleEntry)), ShouldEqual, 6)
		So(s.Services[0], ShouldResemble, catalog.Service{
			ID: "orders", Ack: catalog.AckReplicated, Instances: 3,
			Limits: catalog.Limits{Connections: 20, Reserved: 2, Slots: 3, LocalShare: 2},
		})
		So(s.Origins["timings.lease"], ShouldResemble,
			Origin{File: DefaultOrigin, Text: (600 * time.Millisecond).String()})
	})
	Convey("an overlay changes and adds values", t, func() {
		s, found := archiveLoader(txtar.Parse([]byte(overlayText))).Load(BaseName, "overlay.toml")
		So(found, ShouldBeEmpty)
		So(s.Site, ShouldEqual, catalog.SiteID("muscat-2"))
		So(s.Log.Level, ShouldEqual, LogError)
		So(len(s.VMs), ShouldEqual, 10)
		v, err := s.VM("muscat-2-entry-1")
		So(err, ShouldBeNil)
		So(v.CallerAddress, ShouldEqual, "127.0.0.1:9999")
		So(v.PeerAddress, ShouldEqual, "127.0.0.1:7321")
		So(s.Origins["vm[muscat-2-entry-1].caller-address"],
			ShouldResemble, Origin{File: "overlay.toml", Line: 6, Column: 1, Text: "127.0.0.1:9999"})
		So(s.Origins["vm[muscat-2-entry-1].peer-address"].File, ShouldEqual, BaseName)
		_, err = s.VM("muscat-1-entry-1")
		So(err, ShouldNotBeNil)
		_, err = s.VM("muscat-9")
		So(err, ShouldNotBeNil)
	})
	Convey("overlays of two sites are checked for conflicts", t, func() {
		const vm = "[[vm]]\nname = \"new\"\nrole = \"entry\"\ncaller-address = \"127.0.0.1:1\"\n" +
			"peer-address = \"127.0.0.1:%d2\"\nadmin-address = \"127.0.0.1:%d3\"\nsite = \"muscat-%d\"\n"
		a := &txtar.Archive{}
		for _, n := range []int{1, 2} {
			text := fmt.Sprintf("site = \"muscat-%d\"\n"+vm, n, n, n, n)
			a.Files = append(a.Files, txtar.File{Name: fmt.Sprintf("%d.toml", n), Data: []byte(text)})
		}
		all, found := archiveLoader(a).LoadAll(BaseName, []string{"1.toml", "2.toml", "1.toml"})
		So(all, ShouldBeNil)
		So(found.String(), ShouldEqual, "1.toml:1:1: site has another overlay too: 1.toml\n"+
			"2.toml:3:1: vm[new].name is also a VM of site muscat-1\n"+
			"2.toml:5:1: vm[new].caller-address is 127.0.0.1:1, which vm[new].caller-address has too")
		all, found = archiveLoader(a).LoadAll(BaseName, []string{"1.toml"})
		So(found, ShouldBeEmpty)
		So(len(all), ShouldEqual, 1)
	})
	Convey("origins contain no secrets, and the environment overrides the file", t, func() {
		key := strings.Repeat("ab", minKeyBytes)
		s, found := archiveLoader(txtar.Parse([]byte("-- environment --\n"+key+"\n"))).Load(BaseName, "")
		So(found, ShouldBeEmpty)
		So(s.Security.SharedKey[0], ShouldEqual, 0xab)
		So(s.Origins["security.shared-key"], ShouldResemble, Origin{File: SharedKeyVariable, Text: secretText})
		So(s.Origins["security.token-key"].Text, ShouldEqual, secretText)
	})
}

// FuzzLoad checks that Load doesn't panic on any text, and that loading the same
// text twice returns the same findings.
func FuzzLoad(f *testing.F) {
	f.Add(string(embeddedBase), "")
	f.Add(string(embeddedBase), strings.TrimPrefix(overlayText, "-- overlay.toml --\n"))
	f.Add("a.b = 1\n[[vm]]\n[vm.x]\n[[vm.y]]\n", "vm = [1, {name = 2}]\nsite = 3")
	f.Add("security = 1\nservice = [{id = \"x\", limits = {}}]", "[control]\nmembers = [[]]")
	f.Add("sites = [1979-05-27]\n[timings]\nlease = 0x7fffffffffffffff", "[")
	f.Fuzz(func(t *testing.T, base, overlay string) {
		a := &txtar.Archive{Files: []txtar.File{
			{Name: BaseName, Data: []byte(base)}, {Name: "overlay.toml", Data: []byte(overlay)},
		}}
		s, found := archiveLoader(a).Load(BaseName, "overlay.toml")
		if (s == nil) != (len(found) > 0) {
			t.Fatalf("settings %v with %d findings", s != nil, len(found))
		}
		_, again := archiveLoader(a).Load(BaseName, "overlay.toml")
		if found.String() != again.String() {
			t.Fatalf("findings differ:\n%s\n%s", found, again)
		}
	})
}
