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

// instance is one entry instance, run as a separate process.
type instance struct {
	name    string
	ip      string
	domain  string
	command []string
	folder  string
	store   *proxy
	// usesFeatures is set for the seeds that play with the optional features.
	usesFeatures bool

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	starts  int
	// isEnding is set once the process got a signal that ends it.
	isEnding bool
	// reportEnd is called if the process ends by itself.
	reportEnd func()
	// disturbedAt is when the process was last started, signaled or affected by a
	// network fault.
	disturbedAt time.Time
}

const (
	frontPort = 8641
	readyPort = 8640
	peerPort  = 7620
)

func (i *instance) frontAddress() string { return fmt.Sprintf("%s:%d", i.ip, frontPort) }
func (i *instance) readyAddress() string { return fmt.Sprintf("%s:%d", i.ip, readyPort) }

// start runs the program with a settings file in the platform's format. It does
// nothing if the process runs already, since two faults may have stopped the same
// process and both restart it.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.isRunning() {
		return nil
	}
	settings := filepath.Join(i.folder, i.name+".conf")
	text := platformtest.Settings(i.name, i.ip, i.domain, i.frontAddress(), i.readyAddress(), peerPort, i.store.address())
	if i.usesFeatures {
		text += platformtest.FeatureSettings
	}
	text += revocationSettings
	if i.starts == 0 {
		text += platformtest.FirstStartSettings
	}
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
		_ = process.Wait() // the process logs why it ended
		i.mu.Lock()
		isEnding := i.isEnding
		i.mu.Unlock()
		if !isEnding {
			i.reportEnd()
		}
		close(exited)
	}()
	i.process, i.exited, i.isEnding = process, exited, false
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

// GatewayVariable is the environment variable that makes a test binary run as the
// program.
const GatewayVariable = "REDWINGSTALL_SOAK_GATEWAY"

func (i *instance) signal(signal syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.disturbedAt = time.Now()
	i.isEnding = i.isEnding || signal == syscall.SIGKILL || signal == syscall.SIGTERM
	if i.process != nil {
		_ = i.process.Process.Signal(signal) // the process may have ended meanwhile
	}
}

// wait blocks until the process has ended, and kills it after a time limit.
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

func (i *instance) startCount() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.starts
}

func (i *instance) markDisturbed() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.disturbedAt = time.Now()
}

func (i *instance) undisturbedFor() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return time.Since(i.disturbedAt)
}
