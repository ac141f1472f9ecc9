// Package cursor encodes and verifies the opaque cursors with which a caller resumes reading an answer after its connection was lost.
package cursor
