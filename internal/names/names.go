// Package names converts enumeration values to the names used in logs, including unknown values received from peers.
package names

import "strconv"

// Of returns the entry of list at index number, or "unknown" and the number if there is none.
func Of[N ~int](number N, list ...string) string {
	if number < 0 || int(number) >= len(list) {
		return "unknown " + strconv.Itoa(int(number))
	}
	return list[number]
}
