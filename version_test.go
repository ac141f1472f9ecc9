package vaneyoke

import (
	"runtime/debug"
	"testing"

	"github.com/shoenig/test/must"
)

func TestBuildIncludesCommit(t *testing.T) {
	for want, settings := range map[string][]debug.BuildSetting{
		Version:               nil,
		Version + "-049c5c6":  {{Key: "vcs.revision", Value: "049c5c65d0b1"}, {Key: "vcs.modified", Value: "false"}},
		Version + "-049c5c6+": {{Key: "vcs.modified", Value: "true"}, {Key: "vcs.revision", Value: "049c5c65d0b1"}},
		Version + "-04":       {{Key: "vcs.revision", Value: "04"}, {Key: "GOOS", Value: "linux"}},
	} {
		must.EqOp(t, want, formatBuild(settings))
	}
	must.StrHasPrefix(t, Version, Build())
}
