// Package relay runs generations: it executes the effects of their state machines and lets callers read the answers.
package relay
