// Package engine is the client of inference engines: it starts, resumes and cancels runs and reads their streams.
package engine
