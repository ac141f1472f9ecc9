// Package admissions carries out the decisions of package admission for the requests of a node.
package admissions
