// Command dogwoodroute is the command line for operators: it checks tables, queries
// instances, and runs tests and benchmarks.
package main

import (
	"os"

	"github.com/dogwoodroute/dogwoodroute/internal/cli"
)

func main() { os.Exit(cli.Main(cli.NewOperatorCommand())) }
