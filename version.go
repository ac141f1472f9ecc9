package vaneyoke

import (
	"runtime/debug"
	"sync"
)

// Version is the release that the binaries report.
const Version = "0.1.0"

// shortCommitLength is the length of an abbreviated commit hash in hexadecimal digits.
const shortCommitLength = 7

// Build returns the release and commit from which the binary was built, followed by a plus if the working tree had been modified. There is no
// commit if the binary was built outside the repository.
var Build = sync.OnceValue(func() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Version
	}
	return formatBuild(info.Settings)
})

func formatBuild(settings []debug.BuildSetting) string {
	commit, modified := "", ""
	for _, s := range settings {
		switch {
		case s.Key == "vcs.revision" && s.Value != "":
			commit = "-" + s.Value[:min(len(s.Value), shortCommitLength)]
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = "+"
		}
	}
	return Version + commit + modified
}
