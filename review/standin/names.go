package main

import (
	_ "embed"
	"encoding/json"
)

// The names that only the adapter of the product may hold in Go code stand in a data
// file.

//go:embed names.json
var namesFile []byte

// wireNames are names of the platform's interface.
type wireNames struct {
	ServersPath        string `json:"servers-path"`
	ManifestPath       string `json:"manifest-path"`
	FenceHeader        string `json:"fence-header"`
	HolderHeader       string `json:"holder-header"`
	PlatformSetting    string `json:"platform-setting"`
	StalenessField     string `json:"staleness-field"`
	IdleField          string `json:"idle-field"`
	WrongServer        string `json:"wrong-server"`
	TooManyConnections string `json:"too-many-connections"`
}

var names = mustReadNames()

func mustReadNames() wireNames {
	var n wireNames
	if err := json.Unmarshal(namesFile, &n); err != nil {
		// The file is a part of the program.
		panic(err)
	}
	return n
}
