package app

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall/internal/node/gateway"
	"github.com/redwingstall/redwingstall/internal/observe/logqueue"
	"github.com/redwingstall/redwingstall/platform"
)

// serveGateway runs an instance on a platform until SIGTERM or SIGINT. It handles signals
// from its start until the process ends: the default action of SIGHUP would end a process
// that starts or drains.
func serveGateway(command GatewayCommand, stdout io.Writer) error {
	file := command.Settings
	if file == "" {
		file = os.Getenv(platform.SettingsVariable)
	}
	if file == "" {
		return errors.Mark(errors.Newf("no settings file; pass --settings or set %s", platform.SettingsVariable), errUsage)
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	node, err := platform.LoadNode(file)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	queue := logqueue.NewWriter(stdout)
	defer queue.Close()
	log := slog.New(slog.NewJSONHandler(queue, nil)).With("instance", node.Name)
	watcher := newSettingsWatcher(file, hangups, log)
	g, err := gateway.NewGateway(node, platform.NewAdapters(node), log)
	if err != nil {
		return err
	}
	go watcher.run(g.Done())
	g.Run(ctx)
	<-watcher.done
	return nil
}

// settingsWatcher checks the settings file on SIGHUP and when the file changes, and
// logs the result. It applies no settings: those of an instance on a platform cannot
// change while it runs. An invalid file is logged before it prevents the next start.
type settingsWatcher struct {
	file    string
	log     *slog.Logger
	hangups <-chan os.Signal
	done    chan struct{}
}

func newSettingsWatcher(file string, hangups <-chan os.Signal, log *slog.Logger) *settingsWatcher {
	return &settingsWatcher{file: file, log: log, hangups: hangups, done: make(chan struct{})}
}

// settingsPollInterval is the interval at which the modification time is checked.
const settingsPollInterval = 2 * time.Second

// run checks the file until the instance has stopped.
func (w *settingsWatcher) run(stopped <-chan struct{}) {
	defer close(w.done)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModified := w.modifiedAt()
	for {
		select {
		case <-w.hangups:
			w.check("signal")
			lastModified = w.modifiedAt()
		case <-ticker.C:
			if modified := w.modifiedAt(); !modified.Equal(lastModified) {
				lastModified = modified
				w.check("file changed")
			}
		case <-stopped:
			return
		}
	}
}

// modifiedAt returns the modification time of the file, or zero if it cannot be read.
func (w *settingsWatcher) modifiedAt() time.Time {
	info, err := os.Stat(w.file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (w *settingsWatcher) check(cause string) {
	if _, err := platform.LoadNode(w.file); err != nil {
		w.log.Error("settings file is invalid, settings in use are kept", "cause", cause, "error", err.Error())
		return
	}
	w.log.Info("settings read anew", "cause", cause)
}
