package telemetry_test

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/telemetry"
)

var logged = regexp.MustCompile(`\.(?:Debug|Info|Warn|Error)\("([a-z_]+)"\)`)

// TestEveryLogEventIsListed holds the events in the code against the table, both ways.
func TestEveryLogEventIsListed(t *testing.T) {
	inCode := map[string]bool{"log_lines_lost": true}
	must.NoError(t, filepath.Walk("..", func(path string, info os.FileInfo, err error) error {
		if err != nil || info.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, match := range logged.FindAllStringSubmatch(string(text), -1) {
			inCode[match[1]] = true
		}
		return err
	}))
	var listed []string
	for _, e := range telemetry.Events() {
		must.True(t, inCode[e.Name], must.Sprint(e.Name))
		delete(inCode, e.Name)
		listed = append(listed, e.Name)
	}
	must.MapEmpty(t, inCode)
	must.True(t, slices.IsSorted(listed))
}

// TestDocsListEveryEvent holds the operators' page against the table.
func TestDocsListEveryEvent(t *testing.T) {
	doc, err := os.ReadFile("../docs/OPERATIONS.md")
	must.NoError(t, err)
	must.StrContains(t, string(doc), telemetry.EventsTable())
}
