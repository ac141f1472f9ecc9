// Package route maps a request to its route, its service and the workspace that sent it, without I/O.
package route
