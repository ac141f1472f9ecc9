// Package pins finds out which software version began a stream whose caller comes back, and has other nodes keep it for the streams of this node.
package pins
