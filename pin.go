package vaneyoke

// Pin restricts the attempts of an answer that has begun to upstreams of the software version that began it, since what two versions write does not
// fit together. The zero value restricts nothing.
type Pin struct {
	IsSet   bool
	Version SoftwareVersion
	// VersionUnknown says that the upstream that began the answer has restarted since its version was stated, so that none may go on with it yet.
	VersionUnknown bool
}

// PinTo returns the pin of an answer that an upstream has begun.
func PinTo(u *Upstream) Pin {
	return Pin{IsSet: true, Version: u.Version, VersionUnknown: u.VersionUnknown}
}

// Allows reports whether an upstream may go on with the answer.
func (p Pin) Allows(u *Upstream) bool {
	return !p.IsSet || (p.Version == u.Version && !p.VersionUnknown && !u.VersionUnknown)
}
