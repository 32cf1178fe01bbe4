package commands

import (
	"fmt"
	"runtime/debug"

	"github.com/jessevdk/go-flags"

	"github.com/kingcupknot/kingcupknot/wire"
)

func init() {
	register("version", "Print the version of this program", func(cli *CLI) flags.Commander {
		return &version{cli: cli}
	})
}

type version struct {
	cli *CLI
}

type versionInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
	Protocol int    `json:"protocol"`
}

// Execute prints the version of the program and of the peer protocol.
func (c *version) Execute([]string) error {
	v := versionInfo{Version: "unknown", Protocol: wire.ProtocolVersion}
	if b, ok := debug.ReadBuildInfo(); ok {
		v.Version, v.Go = b.Main.Version, b.GoVersion
		for _, s := range b.Settings {
			if s.Key == "vcs.revision" {
				v.Revision = s.Value
			}
		}
	}
	if c.cli.Options.JSON {
		c.cli.printJSON(v)
		return nil
	}
	fmt.Fprintf(c.cli.Stdout, "kingcupknot %s, protocol %d, %s\n", v.Version, v.Protocol, v.Go)
	return nil
}
