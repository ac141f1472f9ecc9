// Package forecast estimates from recent answers how long a further attempt takes: the time to its first chunk, the gap between chunks, and
// the number of chunks. It keeps a sliding window of samples for each route and returns low quantiles of them, those of a fast upstream.
package forecast
