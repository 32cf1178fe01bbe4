package main

import (
	_ "embed"
	"encoding/json"
)

// namesText holds the words of the users' platform, which Go code outside the
// package platform may not hold.
//
//go:embed names.json
var namesText []byte

var namesByUse = readNames()

func readNames() map[string]string {
	var out map[string]string
	if err := json.Unmarshal(namesText, &out); err != nil {
		panic(err)
	}
	return out
}

// nameOf returns the platform's word for a use.
func nameOf(use string) string { return namesByUse[use] }
