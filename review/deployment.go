//go:build review

package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/redwingstall/redwingstall/platform/platformtest"
)

// gateway is one process of the project.
type gateway struct {
	name, zone, ip, front, ready string
	settings, log                string
	process                      *exec.Cmd
	ended                        chan struct{}
}

// deployment is a small deployment on loopback addresses: the platform's store (the
// project's own stand-in), upstreams, and machines that run the project's program.
type deployment struct {
	started  time.Time
	store    *platformtest.Store
	listener net.Listener
	address  string // of the store
	folder   string
	net      int // second byte of the machines' addresses
	gateways []*gateway

	mu     sync.Mutex
	file   *os.File
	closed bool
}

func newDeployment(path string) (*deployment, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		started: time.Now(), store: platformtest.NewStore(), listener: listener, address: listener.Addr().String(),
		folder: folder, net: freeNetwork(), file: file,
	}
	return d, nil
}

// freeNetwork returns the second byte of loopback addresses whose ports are free.
func freeNetwork() int {
	for {
		n := 20 + rand.IntN(200)
		if isFree(n) {
			return n
		}
	}
}

func isFree(network int) bool {
	for machine := 1; machine <= 4; machine++ {
		ip := fmt.Sprintf("127.%d.0.%d", network, machine)
		for _, port := range []string{":8640", ":8641", ":9464"} {
			listener, err := net.Listen("tcp", ip+port)
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
		socket, err := net.ListenPacket("udp4", ip+":7620")
		if err != nil {
			return false
		}
		_ = socket.Close()
	}
	return true
}

// serveStore serves the store through a handler.
func (d *deployment) serveStore(handler http.Handler) {
	go func() { _ = http.Serve(d.listener, handler) }()
}

// record writes a line with the time since the start.
func (d *deployment) record(format string, arguments ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.closed {
		fmt.Fprintf(d.file, "%8.3f "+format+"\n", append([]any{after(d.started)}, arguments...)...)
	}
}

// addGateway starts a machine of a zone with the command of the deploy file. The memory is
// that of the site gsz-stemmen.
func (d *deployment) addGateway(zone string) error {
	n := len(d.gateways) + 1
	ip := fmt.Sprintf("127.%d.0.%d", d.net, n)
	g := &gateway{
		name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, ip: ip, front: ip + ":8641", ready: ip + ":8640",
	}
	g.settings, g.log = filepath.Join(d.folder, g.name+".conf"), filepath.Join(d.folder, g.name+".log")
	d.gateways = append(d.gateways, g)
	return d.start(g, true)
}

func (d *deployment) start(g *gateway, isFirst bool) error {
	text := fmt.Sprintf(`node=%s
role=entry
machine_class=front
serves=front
ip=%s
zone=%s
region=noord-holland
listen.front=%s
listen.ready=%s
internal_ports=7620,7635
first_start=%v
limits.cpu_share=0.32
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
discovery=platform
entry=vip
heartbeat_ms=870
contracts=base,drain,config,cost,retry,recover,own,places,platform
bounds=seed_lag_s=3,reuse_delay_s=2,contact_ms=3000,ack_ms=4000,catch_up_s=4,drain_ms=2000,grace_s=6,loss_slack_ms=200,config_apply_ms=2000,rollback_slack_ms=250,skew_max_ms=5000,retry_budget_ratio=0.2,budget_window_s=10,retry_budget_extra=56,warmup_overrun=1.5,warmup_slack=5,evacuate_ms=5000,recovery_s=15,hold_max_ms=10000,thaw_slack_ms=300
grants=invocation
platform.address=%s
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
`, g.name, g.ip, g.zone, g.front, g.ready, isFirst, d.address)
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	process := exec.Command("target/redwingstall", "gateway")
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "REDWINGSTALL_NODE_FILE=" + g.settings}
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	g.process, g.ended = process, ended
	d.record("machine %s started, process %d", g.name, process.Process.Pid)
	return nil
}

// awaitReady waits until all machines say that they are ready.
func (d *deployment) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, g := range d.gateways {
			select {
			case <-g.ended:
				text, _ := os.ReadFile(g.log)
				d.record("log of %s: %s", g.name, text)
				return fmt.Errorf("%s has ended", g.name)
			default:
			}
			if answer, err := client.Get("http://" + g.ready + "/-/readiness"); err == nil {
				_ = answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(d.gateways) {
			d.record("all machines are ready")
			return nil
		}
	}
	for _, g := range d.gateways {
		if text, err := os.ReadFile(g.log); err == nil {
			d.record("log of %s ends: %s", g.name, text[max(0, len(text)-600):])
		}
	}
	return errors.New("the machines did not become ready")
}

// keepLogs copies the log lines of the machines that contain a text into the record.
func (d *deployment) keepLogs(texts ...string) {
	for _, g := range d.gateways {
		text, err := os.ReadFile(g.log)
		if err != nil {
			continue
		}
		for _, line := range bytes.Split(text, []byte("\n")) {
			for _, wanted := range texts {
				if bytes.Contains(line, []byte(wanted)) {
					d.record("log: %s", line)
					break
				}
			}
		}
	}
}

// close ends all processes that the deployment started.
func (d *deployment) close() {
	for _, g := range d.gateways {
		if g.process != nil {
			_ = g.process.Process.Signal(syscall.SIGCONT)
			_ = g.process.Process.Kill()
			<-g.ended
		}
	}
	_ = d.listener.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	_ = d.file.Close()
	_ = os.RemoveAll(d.folder)
}

// route is one row of the configuration's routes.
type route struct {
	name, prefix, kind, service string
	timeout, target             int
}

// configure writes a configuration. Services that start with "keyed" are sharded.
func (d *deployment) configure(version int, routes []route, services ...string) {
	routeRows, serviceRows := [][]any{}, [][]any{}
	for _, r := range routes {
		routeRows = append(routeRows, []any{r.name, host, r.prefix, r.kind, r.timeout, r.target, 1, 2, r.service})
	}
	for _, s := range services {
		serviceRows = append(serviceRows, []any{s, "/health", 110, 3, 5.7, len(s) >= 5 && s[:5] == "keyed"})
	}
	d.store.Put("op/config", map[string]any{
		"version":  fmt.Sprintf("r%d", version),
		"routes":   map[string]any{"columns": []string{"name", "host", "prefix", "kind", "timeout_ms", "target_latency_ms", "priority", "max_attempts", "service"}, "rows": routeRows},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_connections", "warmup_s", "warmup_per_s", "sharded"}, "rows": serviceRows},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	d.record("operator: configuration r%d", version)
}

const host = "case.example"
