// Package node assembles the components of a node, starts them and shuts them down.
package node
