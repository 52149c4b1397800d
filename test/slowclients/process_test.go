// Package slowclients_test checks that clients that read or send slowly end no process, and that
// each process stays within the memory and the descriptors that its settings state. The programs
// run as separate processes; store and servers are stand-ins.
package slowclients_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// folder holds the programs.
var folder string

func TestMain(m *testing.M) {
	var err error
	if folder, err = os.MkdirTemp("", "redwingstall"); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// build builds a program, without the race detector, which takes many times the memory.
func build(name string) func() (string, error) {
	return sync.OnceValues(func() (string, error) {
		program := filepath.Join(folder, name)
		output, err := exec.Command("go", "build", "-o", program, "github.com/redwingstall/redwingstall/cmd/"+name).CombinedOutput()
		return program, errors.Wrapf(err, "%s", output)
	})
}

var (
	buildRedwingstall = build("redwingstall")
	buildStandin      = build("standin")
)

const (
	// ip is an address of the loopback network that no other test listens on, so that fixed
	// ports are free.
	ip = "127.86.0.1"
	// memoryMB and maxFDs are the limits that the settings of the processes state. The smallest
	// machine has 136 MB and 2,870 descriptors.
	memoryMB = 128
	maxFDs   = 400
	// crowdSize exceeds maxFDs, so that not all of the slow clients can be connected at once.
	crowdSize = 600
	// crowdTime is how long the crowd is connected before an ordinary request is sent.
	crowdTime = 5 * time.Second
	waitLimit = 30 * time.Second
	// sampleInterval is the time between two samples of a process.
	sampleInterval = 20 * time.Millisecond
)

// process is a program under test.
type process struct {
	t    *testing.T
	name string
	*exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
}

// start starts a program, and ends it with the test.
func start(t *testing.T, program string, arguments ...string) *process {
	t.Helper()
	logs, err := os.Create(filepath.Join(t.TempDir(), "log"))
	require.NoError(t, err)
	p := &process{t: t, name: arguments[0], Cmd: exec.Command(program, arguments...), exited: make(chan struct{})}
	p.Stdout, p.Stderr = logs, logs
	require.NoError(t, p.Start())
	go func() {
		defer close(p.exited)
		_ = p.Wait()
	}()
	t.Cleanup(func() {
		_ = p.Process.Kill()
		<-p.exited
		_ = logs.Close()
		if text, err := os.ReadFile(logs.Name()); err == nil && t.Failed() {
			t.Logf("end of the log of %s: %s", p.name, text[max(0, len(text)-2000):])
		}
	})
	return p
}

// usage is what a process takes at most.
type usage struct {
	resident, queued, descriptors int
	// memory is the largest sum of resident and queued.
	memory int
}

// String returns the usage in megabytes.
func (u usage) String() string {
	return fmt.Sprintf("memory %d MB (resident %d MB, socket queues %d MB), %d descriptors", u.memory>>20, u.resident>>20, u.queued>>20, u.descriptors)
}

// sample adds the present usage. The bytes in the queues of a process's sockets count as its
// memory, since the machine holds them for its clients.
func (u *usage) sample(pid int) {
	resident, queued := residentBytes(pid), queuedBytes()
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	u.resident, u.queued = max(u.resident, resident), max(u.queued, queued)
	u.memory = max(u.memory, resident+queued)
	u.descriptors = max(u.descriptors, len(entries))
}

func residentBytes(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int
	_, _ = fmt.Sscan(string(text), &size, &resident)
	return resident * os.Getpagesize()
}

// queuedBytes returns the bytes in the queues of the connections of the address ip.
func queuedBytes() int {
	file, err := os.Open("/proc/self/net/tcp")
	if err != nil {
		return 0
	}
	defer file.Close()
	bytes := net.ParseIP(ip).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", bytes[3], bytes[2], bytes[1], bytes[0])
	total := 0
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) {
			continue
		}
		var sending, receiving int
		if _, err := fmt.Sscanf(fields[4], "%x:%x", &sending, &receiving); err == nil && fields[3] != listening {
			total += sending + receiving
		}
	}
	return total
}

// listening is the state of a listener in /proc/net/tcp, whose queue holds connections.
const listening = "0A"

// watch samples a process until the returned function is called.
func (p *process) watch() (stop func() usage) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan usage)
	go func() {
		u := usage{}
		for ctx.Err() == nil {
			u.sample(p.Process.Pid)
			time.Sleep(sampleInterval)
		}
		ended <- u
	}()
	return func() usage {
		cancel()
		return <-ended
	}
}

// isAlive reports whether the process has neither ended nor is a zombie.
func (p *process) isAlive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return p.Process.Signal(syscall.Signal(0)) == nil
	}
}

// withstand lets a crowd of slow clients connect to a process. It checks that the process stays
// within its limits and lives, and that one ordinary request is answered while the crowd is
// connected.
func (p *process) withstand(t *testing.T, c crowd, ordinary func() int) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	stop := p.watch()
	var running sync.WaitGroup
	c.run(ctx, &running)
	time.Sleep(crowdTime)
	isAnswered := false
	for deadline := time.Now().Add(waitLimit); !isAnswered && p.isAlive() && time.Now().Before(deadline); {
		isAnswered = ordinary() == 200
	}
	cancel()
	running.Wait()
	most := stop()
	t.Logf("limits %d MB and %d descriptors: %v; ordinary request answered: %v", memoryMB, maxFDs, most, isAnswered)
	require.True(t, p.isAlive(), "the process has ended")
	require.Positive(t, most.memory)
	require.Positive(t, most.descriptors)
	assertBelow(t, "memory in MB", most.memory>>20, memoryMB)
	assertBelow(t, "descriptors", most.descriptors, maxFDs)
	require.True(t, isAnswered, "an ordinary request is answered")
}

func assertBelow(t *testing.T, name string, value, limit int) {
	t.Helper()
	if value > limit {
		t.Errorf("%s: %d of %d", name, value, limit)
	}
}
