// Command dogwoodroute-edge runs one entry instance on a platform that
// publishes configuration and targets in a read-only store.
package main

import (
	"fmt"
	"os"

	"github.com/dogwoodroute/dogwoodroute/internal/edgecli"
)

func main() {
	if err := edgecli.NewCommand().Execute(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "dogwoodroute-edge:", err) // nowhere else to report
		os.Exit(1)
	}
}
