// Kingcupknot is the command line tool for operators.
package main

import (
	"os"

	"github.com/kingcupknot/kingcupknot/commands"
)

func main() {
	os.Exit(int(commands.NewCLI().Run(os.Args[1:])))
}
