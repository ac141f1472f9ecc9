//go:build review

// Command standins-2 plays the scripted cases of the second independent review: it starts real nodes as processes, and stands in for the store, the engines and
// the callers of the users' platform, on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases are the scripted cases by name; each reports whether the rule held.
var cases = map[string]func(trouble bool, dir string) bool{"kept": runKept, "versions": runVersions, "taken-up": runTakenUp, "reused": runReused, "unreadable": runUnreadable}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE RECORD")
		os.Exit(2)
	}
	record.open(os.Args[2])
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		cannotRun("it was interrupted")
	}()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannotRun("%s", err)
	}
	held := cases[os.Args[1]](os.Getenv("TROUBLE") != "0", dir)
	killAll()
	if os.Getenv("KEEP_LOGS") != "" {
		logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
		fmt.Println(logs)
	} else {
		_ = os.RemoveAll(dir)
	}
	if held {
		record.say("the rule held")
		record.close()
		return
	}
	record.say("the rule was broken")
	record.close()
	os.Exit(1)
}
