package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(c *setup) bool{}

// setup is what a case gets.
type setup struct {
	dir     string // temporary
	rec     *record
	trouble bool
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review")
	check(err)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		cleanup()
		os.Exit(2)
	}()
	c := &setup{dir: dir, rec: newRecord(os.Args[2]), trouble: os.Getenv("TROUBLE") != "0"}
	held := cases[os.Args[1]](c)
	cleanup()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
		for _, l := range logs {
			data, _ := os.ReadFile(l)
			_ = os.WriteFile(filepath.Join(keep, filepath.Base(l)), data, 0o644)
		}
	}
	_ = os.RemoveAll(dir)
	if held {
		c.rec.note("the rule held")
		c.rec.close()
		return
	}
	c.rec.note("the rule was broken")
	c.rec.close()
	os.Exit(1)
}
