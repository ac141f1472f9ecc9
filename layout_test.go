package vaneyoke_test

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

// layoutRow matches a row of the table of folders in README.md: the folder, its purpose and its packages.
var layoutRow = regexp.MustCompile("(?m)^\\| `([a-z]+)/` \\| [^|]+ \\| (`[^|]+`) \\|$")

// TestREADMEListsPackages compares the table of folders in README.md with the packages that exist.
func TestREADMEListsPackages(t *testing.T) {
	text, err := os.ReadFile("README.md")
	must.NoError(t, err)
	rows := layoutRow.FindAllStringSubmatch(string(text), -1)
	must.Len(t, 8, rows)
	for _, row := range rows {
		listed := regexp.MustCompile("[a-z]+").FindAllString(row[2], -1)
		var found []string
		for _, pattern := range []string{"doc.go", "*/doc.go", "main.go", "*/main.go"} {
			files, err := filepath.Glob(filepath.Join(row[1], pattern))
			must.NoError(t, err)
			for _, file := range files {
				found = append(found, filepath.Base(filepath.Dir(file)))
			}
		}
		slices.Sort(listed)
		slices.Sort(found)
		must.Eq(t, slices.Compact(found), listed, must.Sprint(row[1]))
	}
}
