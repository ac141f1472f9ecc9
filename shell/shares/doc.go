// Package shares exchanges with the neighbours of a node what the fleet is asked for and admits, as decide/share decides.
package shares
