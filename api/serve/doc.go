// Package serve runs HTTP servers that track the state of each connection and shut down without cutting off requests.
package serve
