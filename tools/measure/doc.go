// Package measure measures what a node costs for each stream, node, engine and workspace, and extrapolates the costs to other fleet sizes.
package measure
