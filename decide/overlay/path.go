package overlay

import "time"

const (
	evidenceTTL = time.Second // for which the outcome of a connection attempt tells the state of a path
	maxPaths    = 1 << 12     // paths of which the state is known
	pathTTL     = time.Minute // after which an unused path is forgotten
)

// path is what a node knows of its own path to an address.
type path struct {
	connectedAt time.Time // last direct connection
	failedAt    time.Time // last failure of a direct connection attempt
}

// lastUsed returns when the path was last tried.
func (p *path) lastUsed() time.Time {
	if p.failedAt.After(p.connectedAt) {
		return p.failedAt
	}
	return p.connectedAt
}

// isReached reports whether the last attempt on the path is recent and succeeded.
func (p *path) isReached(now time.Time) bool {
	return !p.connectedAt.IsZero() && !p.failedAt.After(p.connectedAt) && now.Sub(p.connectedAt) < evidenceTTL
}

// isUnreached reports whether the last attempt on the path is recent and failed.
func (p *path) isUnreached(now time.Time) bool {
	return p.failedAt.After(p.connectedAt) && now.Sub(p.failedAt) < evidenceTTL
}
