package settings

import (
	_ "embed"
	"os"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// Settings are the static settings of a VM, read at start.
type Settings struct {
	// Sites are all sites of the system.
	Sites []catalog.SiteID
	// Site is the site of the overlay. It is empty without an overlay.
	Site       catalog.SiteID
	Timings    catalog.Timings
	Control    Control
	VMs        []VM
	Security   Security
	Statements catalog.Statements
	Log        Log
	Trace      Trace
	Limits     Limits
	Policy     Policy
	// Services are the services of the initial configuration. Control
	// distributes later configurations.
	Services []catalog.Service
	// Origins maps each key to the origin of its value.
	Origins map[string]Origin
}

// BaseName is the file name of the embedded settings in findings and origins.
const BaseName = "base.toml"

//go:embed base.toml
var embeddedBase []byte

// Loader reads settings through functions that tests can replace.
type Loader struct {
	ReadFile func(name string) ([]byte, error)
	Getenv   func(name string) string
}

// Load reads a base file and an overlay. If overlay is empty, it reads only the
// base file. The settings are nil if there is any finding.
func Load(base, overlay string) (*Settings, Findings) {
	return Loader{ReadFile: os.ReadFile, Getenv: os.Getenv}.Load(base, overlay)
}

// Default returns the embedded settings: three sites on loopback. It panics if
// they have findings.
func Default() *Settings {
	read := func(string) ([]byte, error) { return embeddedBase, nil }
	none := func(string) string { return "" }
	s, f := Loader{ReadFile: read, Getenv: none}.Load(BaseName, "")
	if err := f.Err(); err != nil {
		panic(errors.ErrorStack(err))
	}
	return s
}

// DefaultText returns the embedded base file.
func DefaultText() []byte {
	return append([]byte{}, embeddedBase...)
}

// Load is like the function Load, but reads files and environment through l.
func (l Loader) Load(base, overlay string) (*Settings, Findings) {
	baseTree, findings := l.parseFile(base)
	var overlayTree *value
	if overlay != "" {
		var overlayFindings Findings
		overlayTree, overlayFindings = l.parseFile(overlay)
		findings = append(findings, overlayFindings...)
	}
	if len(findings) > 0 {
		findings.sort()
		return nil, findings
	}
	r := &report{origins: map[string]Origin{}}
	if v := baseTree.table["site"]; v != nil {
		r.addFinding(v.place, "site", "belongs in the overlay of that site")
	}
	merged := baseTree
	if overlayTree != nil {
		r.findings = append(r.findings, findSharedKeyChanges(baseTree, overlayTree)...)
		if overlayTree.table["site"] == nil {
			r.addFinding(overlayTree.place, "site", "is missing: say which site the overlay is for")
		}
		merged = merge("", baseTree, overlayTree)
	}
	s := &Settings{Origins: r.origins}
	s.readAll(newTableReader(r, "", merged), l.Getenv)
	if overlayTree != nil {
		s.checkOverlayVMs(r, overlayTree)
	}
	if len(r.findings) > 0 {
		r.findings.sort()
		return nil, r.findings
	}
	return s, nil
}

func (l Loader) parseFile(name string) (*value, Findings) {
	text, err := l.ReadFile(name)
	if err != nil {
		return nil, Findings{{File: name, Text: "can't be read: " + err.Error()}}
	}
	return parse(name, text)
}

func (s *Settings) readAll(t *tableReader, getenv func(string) string) {
	s.readSites(t)
	s.readTimings(t.child("timings"))
	s.readVMs(t)
	s.readControl(t.child("control"))
	s.readSecurity(t.child("security"), getenv)
	s.readStatements(t.child("statements"))
	s.readLog(t.child("log"))
	s.readTrace(t.child("trace"))
	s.readLimits(t.child("limits"))
	s.readPolicy(t.child("policy"))
	s.readServices(t)
	t.reportUnknownKeys()
}
