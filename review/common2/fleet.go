//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/platform/platformtest"
)

// The ports of each instance, as on a small site.
const (
	frontPort = 8641
	readyPort = 8640
	peerPort  = 7620
)

var zones = []string{"zaandam", "wormerveer", "krommenie", "assendelft"}

// settingsText is the settings file of DEPLOY.md, without what the program does not need to know.
const settingsText = `node=%[1]s
role=entry
machine_class=front
serves=front
ip=%[2]s
zone=%[3]s
region=noord-holland
zones.zaandam=noord-holland
zones.wormerveer=noord-holland
zones.krommenie=noord-holland
zones.assendelft=noord-holland
listen.front=%[2]s:%[4]d
listen.ready=%[2]s:%[5]d
internal_ports=%[6]d,7635
first_start=true
limits.cpu_share=0.32
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=870
contracts=base,drain,config,cost,retry,recover,own,places,platform
tolerate.machines=1
tolerate.zones=1
tolerate.regions=0
bounds=seed_lag_s=3,reuse_delay_s=2,contact_ms=3000,ack_ms=4000,catch_up_s=4,drain_ms=2000,grace_s=6,loss_slack_ms=200,config_apply_ms=2000,rollback_slack_ms=250,skew_max_ms=5000,retry_budget_ratio=0.2,budget_window_s=10,retry_budget_extra=56,warmup_overrun=1.5,warmup_slack=5,evacuate_ms=5000,recovery_s=15,hold_max_ms=10000,thaw_slack_ms=300
grants=invocation
platform.address=%[7]s
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
`

// fleet is a small deployment: the platform's store, upstreams and the project's own processes.
type fleet struct {
	store     *platformtest.Store
	address   string
	upstreams []*upstream
	nodes     []*node
	folder    string
	command   []string
}

// node is one process of the project.
type node struct {
	name, ip, zone string
	process        *exec.Cmd
	exited         chan struct{}
}

func (n *node) front() string { return fmt.Sprintf("%s:%d", n.ip, frontPort) }

// newFleet starts the store.
func newFleet(folder string, command []string) (*fleet, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &fleet{store: platformtest.NewStore(), address: listener.Addr().String(), folder: folder, command: command}
	go func() { _ = http.Serve(listener, f.store) }()
	return f, nil
}

// configure writes the first configuration.
func (f *fleet) configure(services map[string]redwingstall.ServiceSpec, routes ...redwingstall.Route) {
	f.store.Configure(redwingstall.Configuration{Version: 7, Routes: routes, Services: services, Limits: redwingstall.CallerLimits{
		HeaderBytes: 16384, BodyBytes: 67108864, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
	}})
}

// addUpstream starts an upstream, whose entry is written at each heartbeat.
func (f *fleet) addUpstream(u *upstream) error {
	if err := startUpstream(u); err != nil {
		return err
	}
	f.upstreams = append(f.upstreams, u)
	f.store.Put("servers/"+u.id, u.entry())
	go func() {
		for range time.Tick(870 * time.Millisecond) {
			f.store.Put("servers/"+u.id, u.entry())
		}
	}()
	return nil
}

// freeNetwork returns the first three bytes of loopback addresses on which all ports are free.
func freeNetwork(count int) (string, error) {
	for second := 20 + os.Getpid()%100; second < 250; second++ {
		prefix := fmt.Sprintf("127.%d.%d", second, 1+os.Getpid()/100%200)
		if isFree(prefix, count) {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func isFree(prefix string, count int) bool {
	for n := 1; n <= count; n++ {
		for _, port := range []int{frontPort, readyPort, 9464} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, n, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// startNodes starts the processes, and waits until all are ready.
func (f *fleet) startNodes(count int) error {
	prefix, err := freeNetwork(count)
	if err != nil {
		return err
	}
	for i := range count {
		n := &node{name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("%s.%d", prefix, i+1), zone: zones[i%len(zones)]}
		if err := f.start(n); err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		if err := n.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) start(n *node) error {
	file := filepath.Join(f.folder, n.name+".conf")
	text := fmt.Sprintf(settingsText, n.name, n.ip, n.zone, frontPort, readyPort, peerPort, f.address)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(f.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	n.process = exec.Command(f.command[0], f.command[1:]...)
	n.process.Env = append(os.Environ(), "REDWINGSTALL_NODE_FILE="+file)
	n.process.Stdout, n.process.Stderr = logs, logs
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func(exited chan struct{}, process *exec.Cmd) {
		_ = process.Wait()
		close(exited)
	}(n.exited, n.process)
	return nil
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	answer, err := client.Get(fmt.Sprintf("http://%s:%d/-/readiness", n.ip, readyPort))
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func (n *node) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", n.name)
}

// hasEnded reports whether the process has ended.
func (n *node) hasEnded() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

// stop ends all processes that were started.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		_ = n.process.Process.Signal(syscall.SIGCONT)
		_ = n.process.Process.Kill()
		<-n.exited
	}
}

// logLines returns the log lines of all processes that contain a text.
func (f *fleet) logLines(text string) []string {
	lines := []string{}
	for _, n := range f.nodes {
		data, err := os.ReadFile(filepath.Join(f.folder, n.name+".log"))
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(data), "\n") {
			if strings.Contains(line, text) {
				lines = append(lines, line)
			}
		}
	}
	return lines
}
