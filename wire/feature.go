package wire

import "strings"

// Feature is something that builds differ in and that a peer must know before a
// message uses it. Peers name their features when they connect.
type Feature string

// FeatureUnknownFields means that the peer ignores fields that it doesn't know and
// messages of a kind that it doesn't know. Builds without it end the connection.
const FeatureUnknownFields Feature = "unknown-fields"

// FeatureAnyText means that the peer reads messages whose text is not UTF-8. Builds
// without it end the connection at such a message, or leave a request unanswered.
const FeatureAnyText Feature = "any-text"

// Features is a list of features, as sent on connecting.
type Features []Feature

// OwnFeatures returns the features of this build.
func OwnFeatures() Features {
	return Features{FeatureUnknownFields, FeatureAnyText}
}

// ParseFeatures reads a list that String has written. An empty text is that of a
// build that names no features.
func ParseFeatures(text string) Features {
	var out Features
	for _, name := range strings.Split(text, ",") {
		if name = strings.TrimSpace(name); name != "" {
			out = append(out, Feature(name))
		}
	}
	return out
}

// String returns the list separated by commas.
func (f Features) String() string {
	names := make([]string, len(f))
	for n, x := range f {
		names[n] = string(x)
	}
	return strings.Join(names, ",")
}

// Has reports whether the list contains a feature.
func (f Features) Has(x Feature) bool {
	for _, y := range f {
		if y == x {
			return true
		}
	}
	return false
}

// ForPeer returns the message without the fields that would make a peer with these
// features end the connection, and without which it works: those for the shares of
// sites and for spent epochs. Builds without features know either all other fields or no deployment that
// needs them.
func (m Message) ForPeer(f Features) Message {
	if f.Has(FeatureUnknownFields) {
		return m
	}
	switch {
	case m.Report != nil && len(m.Report.Work)+len(m.Report.SpentEpochs) > 0:
		r := *m.Report
		r.Work, r.SpentEpochs = nil, nil
		m.Report = &r
	case m.Answer != nil && len(m.Answer.SiteShares) > 0:
		a := *m.Answer
		a.SiteShares = nil
		m.Answer = &a
	}
	return m
}
