package vaneyoke

// Selector names a set of upstreams: an id, an id that ends in *, hall:NAME or *.
type Selector string

// SelectAll is the selector of every upstream.
const SelectAll = "*"

const selectHall = "hall:"

// Matches reports whether an upstream belongs to the set.
func (s Selector) Matches(u *Upstream) bool {
	text := string(s)
	switch {
	case text == SelectAll:
		return true
	case len(text) > len(selectHall) && text[:len(selectHall)] == selectHall:
		return string(u.Hall) == text[len(selectHall):]
	case text != "" && text[len(text)-1] == '*':
		n := len(text) - 1
		return len(u.ID) >= n && string(u.ID[:n]) == text[:n]
	default:
		return string(u.ID) == text
	}
}
