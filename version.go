package vaneyoke

// Version is the release that the binaries tell.
const Version = "0.1.0"
