package settings

import (
	"sort"
	"strconv"
)

// identityKeys maps each list of tables to the key that identifies its
// elements. An element of an overlay is merged into the base's element with the
// same identity, or appended if there is none.
var identityKeys = map[string]string{
	"control.members": "vm",
	"vm":              "name",
	"service":         "id",
	"security.caller": "user",
}

// sharedKeys are the top-level keys that must be equal at every site. An overlay
// must not change them.
var sharedKeys = map[string]bool{
	"sites":      true,
	"timings":    true,
	"control":    true,
	"security":   true,
	"statements": true,
	"service":    true,
	"policy":     true,
}

// findSharedKeyChanges reports the shared keys that an overlay changes.
func findSharedKeyChanges(base, overlay *value) Findings {
	var out Findings
	for _, k := range sortedKeys(overlay.table) {
		if sharedKeys[k] {
			out = append(out, differences(k, base.table[k], overlay.table[k])...)
		}
	}
	return out
}

// differences reports the values below key that an overlay changes or adds.
// Tables are compared key by key, lists in identityKeys element by element.
func differences(key string, base, overlay *value) Findings {
	if base != nil && base.equal(overlay) {
		return nil
	}
	if base == nil {
		base = &value{kind: overlay.kind}
	}
	switch id := identityKeys[key]; {
	case base.kind == kindTable && overlay.kind == kindTable:
		return tableDifferences(key, base, overlay)
	case id != "" && base.kind == kindList && overlay.kind == kindList:
		return listDifferences(key, id, base, overlay)
	}
	text := key + " is shared by all sites and must stand in the base file alone"
	if base.place.line > 0 {
		text += " (there: line " + strconv.Itoa(base.place.line) + ")"
	}
	return Findings{overlay.place.finding(key, text)}
}

func tableDifferences(key string, base, overlay *value) Findings {
	var out Findings
	for _, k := range sortedKeys(overlay.table) {
		out = append(out, differences(key+"."+k, base.table[k], overlay.table[k])...)
	}
	return out
}

// listDifferences compares the elements with the same identity. An element that
// only the overlay has is a difference.
func listDifferences(key, id string, base, overlay *value) Findings {
	var out Findings
	for n, v := range overlay.list {
		label := key + "[" + elementLabel(id, n, v) + "]"
		if i := findElement(base.list, id, v); i >= 0 {
			out = append(out, differences(label, base.list[i], v)...)
			continue
		}
		text := label + " is shared by all sites and must stand in the base file alone"
		out = append(out, v.place.finding(label, text))
	}
	return out
}

// elementLabel returns the identity of element n of a list, or n itself if the
// element has no identity.
func elementLabel(id string, n int, v *value) string {
	if name := v.table[id]; name != nil && name.kind == kindString {
		return name.text
	}
	return strconv.Itoa(n)
}

// merge returns the base with the values of an overlay. It modifies neither.
func merge(key string, base, overlay *value) *value {
	if base == nil {
		return overlay
	}
	if base.kind == kindTable && overlay.kind == kindTable {
		out := newTable(base.place)
		for k, v := range base.table {
			out.table[k] = v
		}
		for k, v := range overlay.table {
			out.table[k] = merge(joinKey(key, k), base.table[k], v)
		}
		return out
	}
	if id := identityKeys[key]; id != "" && base.kind == kindList && overlay.kind == kindList {
		return mergeList(key, id, base, overlay)
	}
	return overlay
}

func mergeList(key, id string, base, overlay *value) *value {
	out := &value{place: base.place, kind: kindList}
	out.list = append(out.list, base.list...)
	for _, v := range overlay.list {
		i := findElement(out.list[:len(base.list)], id, v)
		if i < 0 {
			out.list = append(out.list, v)
			continue
		}
		merged := merge(key, out.list[i], v)
		merged.place = v.place
		out.list[i] = merged
	}
	return out
}

func findElement(list []*value, id string, element *value) int {
	for i, v := range list {
		if v.kind != kindTable || element.kind != kindTable {
			continue
		}
		a, b := v.table[id], element.table[id]
		if a != nil && b != nil && a.equal(b) {
			return i
		}
	}
	return -1
}

func joinKey(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

func sortedKeys[T any](m map[string]T) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
