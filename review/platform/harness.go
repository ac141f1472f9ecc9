//go:build review

// Command platform plays the cases of the review: it starts real nodes as processes, with the deployed settings, in front of stand-ins of the
// platform's store, of engines and of callers. All addresses are loopback ones.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

const (
	host       = "souk.example"
	key        = "key-of-the-tenant"
	tenant     = "huka270"
	exitHeld   = 0
	exitLost   = 1
	exitUnable = 2
)

// record writes what happened to a file and to standard output.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// fleet is a small deployment.
type fleet struct {
	dir     string
	record  *record
	trouble bool
	store   *platformtest.Store
	nodes   []*node
}

// node is a machine of the deployment with its process.
type node struct {
	fleet                              *fleet
	name, zone, listen, ready, program string
	settings                           string

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	started time.Time // when its process was started
}

// freeAddress returns a loopback address with a free port. Each machine has a loopback number of its own.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

var section = regexp.MustCompile(`(?s)\{\{#([a-zA-Z.]+)\}\}.*?\{\{/([a-zA-Z.]+)\}\}\n?`)

// render fills the deployed template as the platform does. The small sites give no bounds for roll-outs and no platform for duties, so that
// those sections do not stand.
func render(template string, values map[string]string) (string, error) {
	start := strings.Index(template, "{{#cloud.address}}")
	end := strings.Index(template, "{{/cloud.address}}")
	if start >= 0 && end > start {
		template = template[:start] + template[end+len("{{/cloud.address}}\n"):]
	}
	text := section.ReplaceAllString(template, "")
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("gaps left in the settings:\n%s", text)
	}
	return text, nil
}

// addNode makes a machine with the bounds of a small deployment.
func (f *fleet) addNode(number int, zone string) (*node, error) {
	ip := fmt.Sprintf("127.10.%d.1", number)
	var addresses [4]string
	for i := range addresses {
		a, err := freeAddress(ip)
		if err != nil {
			return nil, err
		}
		addresses[i] = a
	}
	template, err := os.ReadFile("deploy/node.ini")
	if err != nil {
		return nil, err
	}
	_, adminPort, _ := net.SplitHostPort(addresses[2])
	_, peerPort, _ := net.SplitHostPort(addresses[3])
	text, err := render(strings.Replace(string(template), "{{ip}}:9100", ip+":"+adminPort, 1), map[string]string{
		"nodeName": fmt.Sprintf("edge-%s-%d", zone, number), "zone": zone, "limits.linkMbps": "1000.0", "ip": ip, "portRange.0": peerPort,
		"bounds.graceS": "8", "bounds.drainMs": "2000", "bounds.configMs": "2000", "bounds.contactMs": "3000", "bounds.retryRatio": "0.8",
		"bounds.retryAllowance": "150", "bounds.retryWindowS": "10", "bootstrap": "true", "listen.frontend": addresses[0],
		"listen.readiness": addresses[1], "platform.address": f.store.Address(),
	})
	if err != nil {
		return nil, err
	}
	n := &node{fleet: f, name: fmt.Sprintf("edge-%s-%d", zone, number), zone: zone, listen: addresses[0], ready: addresses[1], program: "target/vaneyoked"}
	n.settings = filepath.Join(f.dir, n.name+".ini")
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	f.nodes = append(f.nodes, n)
	return n, nil
}

// start starts the node's process with the command of the deploy file; its log goes to the temporary folder. Only the first start is one of the whole
// system.
func (n *node) start() error {
	if n.cmd != nil {
		text, err := os.ReadFile(n.settings)
		if err != nil {
			return err
		}
		if err := os.WriteFile(n.settings, []byte(strings.Replace(string(text), "first_start = true", "first_start = false", 1)), 0o600); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(n.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(n.program, "--config", n.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "VANEYOKE_CONFIG=" + n.settings}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.ended, n.started = cmd, ended, time.Now()
	n.mu.Unlock()
	n.fleet.record.printf("%s starts (process %d)", n.name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// kill ends the node's process.
func (n *node) kill() {
	n.mu.Lock()
	cmd, ended := n.cmd, n.ended
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-ended
}

// waitReady waits until the node says that it is ready.
func (n *node) waitReady(limit time.Duration) error {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(20 * time.Millisecond) {
		res, err := http.Get("http://" + n.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(n.name + " is not ready")
}

// startNodes adds nodes, starts them and waits until they are ready.
func (f *fleet) startNodes(count int) error {
	for i := range count {
		n, err := f.addNode(i+1, []string{"a", "b"}[i%2])
		if err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range f.nodes {
		if err := n.waitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.kill()
	}
	f.store.Close()
}

// routeRow is a route of the configuration, in the words of the users' pages.
type routeRow map[string]any

func (f *fleet) configure(version int, routes []routeRow, services ...string) {
	var list []any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false, "backend": map[string]any{
			"slots": 64, "kvCapacity": 55000, "kvBytes": 327680, "linkMbps": 260000.0, "stride": 5, "most": 12, "modelList": []any{map[string]any{"name": "m"}},
		}})
	}
	f.store.Put("op", "config", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{key}}},
	})
}

// list keeps an engine in the store's list.
func (f *fleet) list(e *engine) {
	f.store.Put("servers", e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 64, "state": "ready", "coldLeftMs": 0,
		"phase": "unified", "modelList": []any{map[string]any{"name": "m", "version": 1, "loras": []any{}}}, "sequence": 1,
	})
}

// engine is a stand-in of an engine.
type engine struct {
	id, service, zone, address string
	server                     *http.Server
	run                        func(w http.ResponseWriter, r *http.Request, body []byte)

	mu     sync.Mutex
	active int
	runs   map[string]int // by attempt id
}

func newEngine(number int, service, zone string, run func(http.ResponseWriter, *http.Request, []byte)) (*engine, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.20.%d.1:0", number))
	if err != nil {
		return nil, err
	}
	e := &engine{id: fmt.Sprintf("i-%08x", 0x31b10000+number), service: service, zone: zone, address: l.Addr().String(), run: run, runs: map[string]int{}}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

// ServeHTTP answers as the pages say that engines do.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", e.id)
	switch r.URL.Path {
	case "/healthz":
		return
	case "/kv-list":
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"epoch": 1, "nextToken": 1, "held": []any{}})
		return
	case "/report":
		e.mu.Lock()
		active := e.active
		e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"phase": "unified", "modelList": []any{map[string]any{"name": "m", "version": 1, "loras": []any{}}}, "utilization": false, "sequence": 1,
			"queued": 0, "active": active, "kvInUse": min(active*500, 40000), "kvSize": 55000, "kvHandles": 0,
		})
		return
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var body bytes.Buffer
	if _, err := body.ReadFrom(r.Body); err != nil {
		panic(http.ErrAbortHandler) // the request did not come whole, so that it is not run
	}
	e.mu.Lock()
	e.active++
	e.runs[r.Header.Get("X-Attempt-Id")]++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.active--
	}()
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Response-Signature", "3e1b.07.5a2.600.0."+e.id)
	e.run(w, r, body.Bytes())
}

// keptConn is a caller's connection that it keeps for many requests.
type keptConn struct {
	net.Conn
	reader  *bufio.Reader
	answers int // whole answers that it has carried
}

// isClose reports whether a connection's error says that the other end has closed or reset it; a time-out of the caller's own does not.
func isClose(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func dialKept(n *node) (*keptConn, error) {
	c, err := net.DialTimeout("tcp", n.listen, time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConn{Conn: c, reader: bufio.NewReader(c)}, nil
}
