// Package backlog accounts for the bytes that a node holds for its callers, and decides which request bodies have room, who gets back-pressure and whom
// it cuts off. It is a bounded buffer shared by all callers: bodies are reserved in whole, each answer has a bound of its own, and under pressure none
// grows beyond an equal share of what bodies leave.
package backlog
