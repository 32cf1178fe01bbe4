package main

import (
	_ "embed" // The texts of the platform are embedded.
	"encoding/json"
	"strings"
)

// The words and messages of the platform are data, since Go code outside platform/
// does not hold them.
var (
	//go:embed names.json
	namesText []byte
	//go:embed settings.json
	settingsText string
	//go:embed manifest.json
	manifestText string
	//go:embed heartbeat.json
	heartbeatText string
)

var names = map[string]string{}

func init() {
	if err := json.Unmarshal(namesText, &names); err != nil {
		panic(err)
	}
}

// fill returns a text with a value for each placeholder. The list holds names and
// values by turns.
func fill(text string, list ...string) string {
	pairs := make([]string, 0, len(list))
	for n, x := range list {
		if n%2 == 0 {
			x = "@" + x + "@"
		}
		pairs = append(pairs, x)
	}
	return strings.NewReplacer(pairs...).Replace(text)
}

// asJSON returns a value as JSON.
func asJSON(v any) string {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(text)
}
