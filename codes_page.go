package vaneyoke

import (
	"fmt"
	"strings"
)

const codesPageHeader = `# Result codes

Every failure has a number. It stands in the body of an HTTP answer (` + "`error.code`, with its name in `error.type`" + `), in
the log (` + "`code=`" + `), in the traces and, where a command ends with it, in the exit status. *Not run* says whether the code
promises that the request was not run; ` + "`error.not_run`" + ` tells the same. This page is written from the code.

| code | name | HTTP status | not run | meaning |
| --- | --- | --- | --- | --- |
`

// CodesPage renders the content of docs/RESULT-CODES.md.
func CodesPage() string {
	var b strings.Builder
	b.WriteString(codesPageHeader)
	for _, info := range Codes() {
		status, notRun := "-", "no"
		if info.Status > 0 {
			status = fmt.Sprint(info.Status)
		}
		if info.NotRun {
			notRun = "yes"
		}
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s | %s |\n", info.Code, info.Name, status, notRun, info.Text)
	}
	return b.String()
}
