package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
)

const validSettings = `
[node]
vm = vm-1
data_centre = hall-a
listen = 127.0.0.1:0
admin = 127.0.0.1:0
[peers]
listen = 127.0.0.1:0
keys = k
[platform]
table_url = http://127.0.0.1:1
object_url = http://127.0.0.1:1/objects
vms_url = http://127.0.0.1:1/vms
`

func TestCommandLine(t *testing.T) {
	cases := map[string]struct {
		text string
		args []string
		code vaneyoke.Code
		want string
	}{
		"good settings":         {validSettings, []string{"--check"}, vaneyoke.CodeOK, "settings are good"},
		"unknown key":           {validSettings + "x = 1\n", []string{"--check"}, vaneyoke.CodeSettingsKey, "[platform] x: unknown key"},
		"bad value":             {validSettings + "poll = 1h\n", []string{"--check"}, vaneyoke.CodeSettingsValue, "poll: must be at most 2s"},
		"trace has no folder":   {validSettings + "[trace]\noutput = /none/none/trace\n", nil, vaneyoke.CodeSettingsValue, "[trace] output"},
		"address of another VM": {validSettings + "[log]\nlevel = error\n", nil, vaneyoke.CodeListen, "listen on"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			text := tc.text
			if tc.code == vaneyoke.CodeListen {
				text = string(bytes.Replace([]byte(text), []byte("listen = 127.0.0.1:0"), []byte("listen = 192.0.2.1:1"), 1))
			}
			path := filepath.Join(t.TempDir(), "node.ini")
			must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
			var out bytes.Buffer
			cmd := command(&signals{})
			cmd.Writer = &out
			err := cmd.Run(t.Context(), append([]string{"vaneyoked", "--config", path}, tc.args...))
			if err != nil {
				out.WriteString(err.Error())
				must.EqOp(t, int(tc.code), vaneyoke.ExitStatus(err))
			}
			must.EqOp(t, tc.code, vaneyoke.CodeOf(err))
			must.StrContains(t, out.String(), tc.want)
		})
	}
}

func TestMissingFlagIsAUsageError(t *testing.T) {
	cmd := command(&signals{})
	cmd.Writer, cmd.ErrWriter = &bytes.Buffer{}, &bytes.Buffer{}
	err := cmd.Run(t.Context(), []string{"vaneyoked"})
	must.Error(t, err)
	must.EqOp(t, int(vaneyoke.CodeUsage), vaneyoke.ExitStatus(err))
}
