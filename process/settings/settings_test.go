package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/process/settings"
)

const validSettings = `
[node]
vm = vm-1
data_centre = hall-a
[peers]
keys = new,old
[platform]
table_url = http://127.0.0.1:1
object_url = http://127.0.0.1:2
vms_url = http://127.0.0.1:3/vms
`

const gatewaySettings = "[node]\nvm = vm-1\ndata_centre = hall-a\n[gateway]\nlisten = 127.0.0.1:1\n"

func TestParse(t *testing.T) {
	cases := map[string]struct {
		text string
		code vaneyoke.Code
		want string // part of the error
	}{
		"good":                 {validSettings, vaneyoke.CodeOK, ""},
		"unknown key":          {validSettings + "[limits]\nbody = 1", vaneyoke.CodeSettingsKey, "node.ini: [limits] body: unknown key; known are"},
		"unknown section":      {validSettings + "[limit]\nbody = 1", vaneyoke.CodeSettingsKey, "[limit]: unknown section"},
		"stray key":            {"grace = 1s\n" + validSettings, vaneyoke.CodeSettingsKey, "unknown section"},
		"missing":              {strings.Replace(validSettings, "vm = vm-1", "", 1), vaneyoke.CodeSettingsKey, "[node] vm: is missing"},
		"no keys":              {strings.Replace(validSettings, "new,old", ",", 1), vaneyoke.CodeSettingsValue, "[peers] keys: is missing"},
		"no duration":          {validSettings + "[limits]\nmax_wait = 3", vaneyoke.CodeSettingsValue, "[limits] max_wait: must be a duration"},
		"too small":            {validSettings + "[recovery]\nfloor = 1ms", vaneyoke.CodeSettingsValue, "[recovery] floor: must be at least 10ms, got 1ms"},
		"too large":            {validSettings + "[trace]\nratio = 1.5", vaneyoke.CodeSettingsValue, "[trace] ratio: must be at most 1, got 1.5"},
		"no address":           {strings.Replace(validSettings, "hall-a", "hall-a\nlisten = localhost:80", 1), vaneyoke.CodeSettingsValue, "must be an IP number and a port"},
		"no url":               {strings.Replace(validSettings, "http://127.0.0.1:2", "ftp://x", 1), vaneyoke.CodeSettingsValue, "must be an http or https address"},
		"no level":             {validSettings + "[log]\nlevel = loud", vaneyoke.CodeSettingsValue, "must be one of"},
		"no admission mode":    {validSettings + "[admission]\nmode = first", vaneyoke.CodeSettingsValue, "must be one of"},
		"more than half":       {validSettings + "[limits]\nmemory = 100\nbuffer_bytes = 50000001", vaneyoke.CodeSettingsValue, "[limits] buffer_bytes: must be at most half of memory (100 MB), got 50000001"},
		"body of all":          {validSettings + "[limits]\nmemory = 8", vaneyoke.CodeSettingsValue, "[limits] body_bytes: must be at most the 4000000 bytes that are held for callers, got 4194304"},
		"no bound":             {validSettings + "[limits]\nmemory = 0\nbuffer_bytes = 1000000000", vaneyoke.CodeOK, ""},
		"gateway, no store":    {gatewaySettings + "readiness = 127.0.0.1:2\n", vaneyoke.CodeSettingsKey, "[gateway] store: is missing"},
		"gateway, no probe":    {gatewaySettings + "store = 127.0.0.1:2\n", vaneyoke.CodeSettingsKey, "[gateway] readiness: is missing"},
		"gateway, bad address": {gatewaySettings + "store = store:2\n", vaneyoke.CodeSettingsValue, "[gateway] store: must be an IP number"},
		"gateway, bad section": {gatewaySettings + "store = 127.0.0.1:3\nreadiness = 127.0.0.1:2\n[peers]\nlisten = x\n", vaneyoke.CodeSettingsValue, "[peers] listen"},
		"gateway":              {gatewaySettings + "store = 127.0.0.1:3\nreadiness = 127.0.0.1:2\n", vaneyoke.CodeOK, ""},
		"no INI":               {"[node", vaneyoke.CodeSettingsFile, "node.ini"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s, err := settings.Parse([]byte(tc.text), "node.ini")
			must.EqOp(t, tc.code, vaneyoke.CodeOf(err))
			if err != nil {
				must.StrContains(t, err.Error(), tc.want)
				return
			}
			must.EqOp(t, "vm-1", s.Node.VM)
			must.EqOp(t, 15*time.Minute, s.Node.Grace)
		})
	}
}

func TestLoadNamesTheMissingFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "none.ini")
	_, err := settings.Load(path)
	must.EqOp(t, vaneyoke.CodeSettingsFile, vaneyoke.CodeOf(err))
	must.StrContains(t, err.Error(), path)
}

func TestDocsListEverySetting(t *testing.T) {
	doc, err := os.ReadFile("../../docs/SETTINGS.md")
	must.NoError(t, err)
	must.EqOp(t, settings.Markdown(), string(doc))
}
