package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/redwingstall/redwingstall/platform/platformtest"
)

// instance is one entry instance as a process of its own.
type instance struct {
	name    string
	ip      string
	domain  string
	command []string
	folder  string
	store   *proxy

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	starts  int
	// disturbedAt is when the process was last stopped, paused or cut off.
	disturbedAt time.Time
}

const (
	frontPort = 8641
	readyPort = 8640
	peerPort  = 7620
)

func (i *instance) front() string { return fmt.Sprintf("%s:%d", i.ip, frontPort) }
func (i *instance) ready() string { return fmt.Sprintf("%s:%d", i.ip, readyPort) }

// start runs the program with a settings file of the platform's form, unless it
// runs already: two faults may have ended the same process.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.isRunning() {
		return nil
	}
	settings := filepath.Join(i.folder, i.name+".conf")
	text := platformtest.Settings(i.name, i.ip, i.domain, i.front(), i.ready(), peerPort, i.store.address())
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(i.folder, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	arguments := append(append([]string{}, i.command[1:]...), "gateway", "--settings", settings)
	process := exec.Command(i.command[0], arguments...)
	process.Stdout, process.Stderr = logs, logs
	process.Env = append(os.Environ(), GatewayVariable+"=1")
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = process.Wait() // how it ended stands in its log
		close(exited)
	}()
	i.process, i.exited = process, exited
	i.starts++
	i.disturbedAt = time.Now()
	return nil
}

func (i *instance) isRunning() bool {
	if i.exited == nil {
		return false
	}
	select {
	case <-i.exited:
		return false
	default:
		return true
	}
}

// GatewayVariable tells a test binary to run as the program.
const GatewayVariable = "REDWINGSTALL_SOAK_GATEWAY"

func (i *instance) signal(signal syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.disturbedAt = time.Now()
	if i.process != nil {
		_ = i.process.Process.Signal(signal) // it may have ended meanwhile
	}
}

// wait returns once the process has ended, and kills it if it does not in time.
func (i *instance) wait(limit time.Duration) (isKilled bool) {
	i.mu.Lock()
	exited := i.exited
	i.mu.Unlock()
	select {
	case <-exited:
		return false
	case <-time.After(limit):
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
		<-exited
		return true
	}
}

func (i *instance) generation() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.starts
}

func (i *instance) disturb() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.disturbedAt = time.Now()
}

func (i *instance) calmFor() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return time.Since(i.disturbedAt)
}
