// Package claims runs requests at most once: it claims them in the platform's table and batches the writes into transactions.
package claims
