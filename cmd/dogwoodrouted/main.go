// Command dogwoodrouted runs one entry instance.
package main

import (
	"os"

	"github.com/dogwoodroute/dogwoodroute/internal/cli"
)

func main() { os.Exit(cli.Main(cli.NewDaemonCommand())) }
