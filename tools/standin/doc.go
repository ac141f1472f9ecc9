// Package standin holds test doubles for the servers that a node depends on: a model engine, a plain service and the platform.
package standin
