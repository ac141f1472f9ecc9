//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

// cases are the cases by their names.
var cases = map[string]func(*fleet) (int, error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "platform CASE FOLDER, at the root of the repository; TROUBLE=0 leaves the disruption out")
		return exitUnable
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer func() { _ = file.Close() }()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	f := &fleet{dir: dir, record: &record{file: file, began: time.Now()}, trouble: os.Getenv("TROUBLE") != "0", store: platformtest.NewStore()}
	defer f.close()
	f.record.printf("case %s, disruption: %t", os.Args[1], f.trouble)
	code, err := cases[os.Args[1]](f)
	if err != nil {
		f.record.printf("the case could not run: %s", err)
		return exitUnable
	}
	f.record.printf("exit status %d", code)
	return code
}
