package vaneyoke

// Pin restricts the attempts of an answer that has begun to upstreams of the software version that began it, since what two versions write does not
// fit together. The zero value restricts nothing.
type Pin struct {
	IsSet   bool
	Version SoftwareVersion
	// VersionUnknown says that the upstream that began the answer has restarted since its version was stated, so that only the process that began it may
	// go on with it.
	VersionUnknown bool
	upstream       UpstreamID // whose process began the answer; used while the version is unknown
	incarnation    Incarnation
}

// PinTo returns the pin of an answer that an upstream has begun.
func PinTo(u *Upstream) Pin {
	return Pin{IsSet: true, Version: u.Version, VersionUnknown: u.VersionUnknown, upstream: u.ID, incarnation: u.Incarnation}
}

// Allows reports whether an upstream may go on with the answer.
func (p Pin) Allows(u *Upstream) bool {
	switch {
	case !p.IsSet:
		return true
	case p.VersionUnknown:
		return u.ID == p.upstream && u.Incarnation == p.incarnation
	default:
		return u.Version == p.Version && !u.VersionUnknown
	}
}
