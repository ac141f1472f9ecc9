package settings

import (
	"fmt"
	"reflect"
	"strings"
)

const pageHeader = `# Settings

A node reads one INI file, ` + "`vaneyoked --config node.ini`" + `. Each key is checked at the start; an unknown key, a bad
value or a missing file ends the start with one line that names file, key and reason, and the exit status is the result
code. ` + "`vaneyoked --config node.ini --check`" + ` only checks. This page is written from the code.
`

// Markdown returns the content of docs/SETTINGS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString(pageHeader)
	for section := range reflect.TypeFor[Settings]().Fields() {
		fmt.Fprintf(&b, "\n## [%s]\n\n%s\n\n", section.Tag.Get("ini"), section.Tag.Get("doc"))
		b.WriteString("| key | default | bounds | meaning |\n| --- | --- | --- | --- |\n")
		for field := range section.Type.Fields() {
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", field.Tag.Get("ini"), defaultOf(field), boundsOf(field.Tag), field.Tag.Get("doc"))
		}
	}
	return b.String()
}

func defaultOf(field reflect.StructField) string {
	text, ok := field.Tag.Lookup("default")
	if !ok && strings.HasPrefix(field.Tag.Get("check"), "optional") {
		return "(none)"
	}
	if !ok {
		return "(must be set)"
	}
	return "`" + text + "`"
}

func boundsOf(tag reflect.StructTag) string {
	var parts []string
	if minimum := tag.Get("min"); minimum != "" {
		parts = append(parts, "≥ "+minimum)
	}
	if maximum := tag.Get("max"); maximum != "" {
		parts = append(parts, "≤ "+maximum)
	}
	return strings.Join(parts, ", ")
}
