package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
	"github.com/vaneyoke/vaneyoke/process/settings"
)

// maxWait is the longest time that a test waits for a condition.
const maxWait = 20 * time.Second

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// renderDeployedSettings returns the deployed settings with their placeholders filled in, as the platform does it.
func renderDeployedSettings(t *testing.T, store, listen, readiness, admin string) string {
	return renderSettings(t, "../../deploy/node.ini", store, listen, readiness, admin)
}

// renderSettings fills in the placeholders of the settings template at path, which may be that of an earlier build.
func renderSettings(t *testing.T, path, store, listen, readiness, admin string) string {
	text, err := os.ReadFile(path)
	must.NoError(t, err)
	filled := strings.NewReplacer(
		"{{nodeName}}", "edge-1", "{{zone}}", "a", "{{limits.linkMbps}}", "1000.0", "{{ip}}:9100", admin, "{{ip}}:{{portRange.0}}", "127.0.0.1:0", "{{bounds.graceS}}", "8", "{{bounds.drainMs}}", "2000", "{{bounds.configMs}}", "2000", "{{bounds.contactMs}}", "3000", "{{bounds.retryRatio}}", "0.8", "{{bounds.retryAllowance}}", "150", "{{bounds.retryWindowS}}", "10",
		"{{bootstrap}}", "false", "{{#cloud.address}}", "", "{{cloud.address}}", store, "{{/cloud.address}}", "", "{{bounds.leaseMs}}", "1000", "{{#bounds.fencing}}", "", "{{/bounds.fencing}}", "",
		"{{#bounds.reportWindowS}}", "", "{{bounds.reportWindowS}}", "1", "{{/bounds.reportWindowS}}", "", "{{#bounds.usageLateS}}", "", "{{bounds.usageLateS}}", "6", "{{/bounds.usageLateS}}", "",
		"{{#limits.memoryMb}}", "", "memory = {{.}}", "memory = 284", "{{/limits.memoryMb}}", "",
		"{{#limits.maxFds}}", "", "descriptors = {{.}}", "descriptors = 4100", "{{/limits.maxFds}}", "",
		"{{#bounds.exposureShare}}", "", "{{.}}", "0.1", "{{/bounds.exposureShare}}", "",
		"{{listen.frontend}}", listen, "{{listen.readiness}}", readiness, "{{platform.address}}", store,
	).Replace(string(text))
	must.False(t, regexp.MustCompile(`\{\{`).MatchString(filled), must.Sprint(filled))
	return filled
}

func TestDeployedSettingsAreValid(t *testing.T) {
	text := renderDeployedSettings(t, "10.0.0.1:1", "10.0.0.2:1", "10.0.0.2:2", "10.0.0.2:3")
	s, err := settings.Parse([]byte(text), "node.ini")
	must.NoError(t, err)
	must.EqOp(t, 8*time.Second, s.Node.Grace)
	must.True(t, s.Gateway.ServesOpaque())
	must.EqOp(t, "10.0.0.1:1", s.Duties.Platform)
	must.True(t, s.Duties.Fencing)
	must.EqOp(t, 142_000_000, s.Limits.MaxBufferBytes())
	must.EqOp(t, time.Second, s.Duties.Window)
}

// TestNodeServesAcrossHangups sends SIGHUP to a node after writing valid and invalid settings. The node must stay ready
// after each, and stop without an error.
func TestNodeServesAcrossHangups(t *testing.T) {
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	store.Configure(1, "stall.example", "key")
	readiness := freeAddress(t)
	text := renderDeployedSettings(t, store.Address(), "127.0.0.1:0", readiness, "127.0.0.1:0")
	path := filepath.Join(t.TempDir(), "node.ini")
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	sigs := catchForTest(t)
	go func() { ended <- command(sigs).Run(ctx, []string{"vaneyoked", "--config", path}) }()
	waitReady(t, "http://"+readiness+"/readyz")
	for _, changed := range []string{strings.Replace(text, "8s", "2s", 1), "[node", text} {
		must.NoError(t, os.WriteFile(path, []byte(changed), 0o600))
		must.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		waitReady(t, "http://"+readiness+"/readyz")
	}
	stop()
	must.NoError(t, <-ended)
}

func waitReady(t *testing.T, url string) {
	for start := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		must.Less(t, maxWait, time.Since(start))
		res, err := http.Get(url) //nolint:gosec // the address is the test's own
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return
		}
	}
}
