package vaneyoke

// Selector denotes a set of upstreams: an id, an id prefix followed by *, data_centre:NAME, or * for all.
type Selector string

// SelectAll is the selector of every upstream.
const SelectAll = "*"

const dataCentrePrefix = "data_centre:"

// Matches reports whether s selects u.
func (s Selector) Matches(u *Upstream) bool {
	text := string(s)
	switch {
	case text == SelectAll:
		return true
	case len(text) > len(dataCentrePrefix) && text[:len(dataCentrePrefix)] == dataCentrePrefix:
		return string(u.DataCentre) == text[len(dataCentrePrefix):]
	case text != "" && text[len(text)-1] == '*':
		n := len(text) - 1
		return len(u.ID) >= n && string(u.ID[:n]) == text[:n]
	default:
		return string(u.ID) == text
	}
}
