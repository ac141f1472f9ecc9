// Package backlog accounts for the bytes that a node holds for its callers, and decides who gets back-pressure and whom it cuts off. It is a
// bounded buffer shared by all callers: each has a bound of its own, and under pressure nobody grows beyond an equal share.
package backlog
