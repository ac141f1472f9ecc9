package main

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

var soakBuilds = flag.String("soak.builds", "", "folder that keeps the programs of earlier builds for further runs; a folder of the test's own where it is empty")

// build is the executable of an earlier commit, and the template of the settings that were deployed with it.
type build struct {
	commit, program, template string
}

// productionCommit returns the commit that the deploy file names as the one in production.
func productionCommit(t *testing.T) string {
	text, err := os.ReadFile("../../deploy/system.toml")
	must.NoError(t, err)
	found := regexp.MustCompile(`(?m)^production = "([0-9a-f]{7,})"$`).FindSubmatch(text)
	must.SliceNotEmpty(t, found, must.Sprint("the deploy file names no commit in production"))
	return string(found[1])
}

// buildCommit builds the executable of a commit from the git history, or returns the one that an earlier run has kept.
// The test fails if the history lacks the commit.
func buildCommit(t *testing.T, commit string) *build {
	return buildProgram(t, commit, "vaneyoked", "build")
}

// buildTestsOf is like buildCommit for the test executable, whose nodes can be cut from engines.
func buildTestsOf(t *testing.T, commit string) *build {
	return buildProgram(t, commit, "vaneyoked.test", "test", "-c")
}

// buildProgram builds an executable of a commit with a command of go.
func buildProgram(t *testing.T, commit, name string, command ...string) *build {
	root := t.TempDir()
	if *soakBuilds != "" {
		root = filepath.Join(*soakBuilds, commit)
		must.NoError(t, os.MkdirAll(root, 0o700))
	}
	b := &build{commit: commit, program: filepath.Join(root, name), template: filepath.Join(root, "deploy", "node.ini")}
	if _, err := os.Stat(b.program); err == nil {
		return b
	}
	archive := exec.Command("git", "-C", "../..", "archive", "--format=tar", commit, ".", ":(exclude)docs", ":(exclude)*.json", ":(exclude)*.token")
	unpack := exec.Command("tar", "-x", "-C", root)
	pipe, err := archive.StdoutPipe()
	must.NoError(t, err)
	unpack.Stdin = pipe
	var stderr strings.Builder
	archive.Stderr = &stderr
	must.NoError(t, archive.Start())
	must.NoError(t, unpack.Run())
	must.NoError(t, archive.Wait(), must.Sprintf("the history lacks commit %s: %s", commit, &stderr))
	compile := exec.Command("go", append(command, "-o", b.program, "./cmd/vaneyoked")...)
	compile.Dir = root
	text, err := compile.CombinedOutput()
	must.NoError(t, err, must.Sprint(string(text)))
	return b
}
