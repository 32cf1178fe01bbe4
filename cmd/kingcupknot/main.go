// Kingcupknot is the operators' command line.
package main

import (
	"os"

	"github.com/kingcupknot/kingcupknot/commands"
)

func main() {
	os.Exit(int(commands.NewCLI().Run(os.Args[1:])))
}
