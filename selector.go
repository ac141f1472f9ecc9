package vaneyoke

// Selector names a set of upstreams: an id, an id that ends in *, data_centre:NAME or *.
type Selector string

// SelectAll is the selector of every upstream.
const SelectAll = "*"

const selectDataCentre = "data_centre:"

// Matches reports whether an upstream belongs to the set.
func (s Selector) Matches(u *Upstream) bool {
	text := string(s)
	switch {
	case text == SelectAll:
		return true
	case len(text) > len(selectDataCentre) && text[:len(selectDataCentre)] == selectDataCentre:
		return string(u.DataCentre) == text[len(selectDataCentre):]
	case text != "" && text[len(text)-1] == '*':
		n := len(text) - 1
		return len(u.ID) >= n && string(u.ID[:n]) == text[:n]
	default:
		return string(u.ID) == text
	}
}
