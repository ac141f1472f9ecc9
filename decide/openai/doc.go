// Package openai encodes and decodes the bodies of the OpenAI API, for callers and for engines, without I/O.
package openai
