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

// serveGateway runs an instance on a platform until it is told to end.
func serveGateway(command GatewayCommand, stdout io.Writer) error {
	file := command.Settings
	if file == "" {
		file = os.Getenv(platform.SettingsVariable)
	}
	if file == "" {
		return errors.Mark(errors.Newf("no settings file: give --settings or set %s", platform.SettingsVariable), errUsage)
	}
	node, err := platform.LoadNode(file)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	queue := logqueue.NewWriter(stdout)
	defer queue.Close()
	log := slog.New(slog.NewJSONHandler(queue, nil)).With("instance", node.Name)
	g, err := gateway.NewGateway(node, platform.NewAdapters(node), log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	watcher := &settingsWatcher{file: file, log: log, done: make(chan struct{})}
	go watcher.run(ctx)
	g.Run(ctx)
	<-watcher.done
	return nil
}

// settingsWatcher checks the settings file when it changes. An instance's place
// on the platform does not change while it runs; what a changed file is good
// for is told, and a broken one is told before it prevents the next start.
type settingsWatcher struct {
	file string
	log  *slog.Logger
	done chan struct{}
}

// settingsEvery is how often the file is looked at without a signal.
const settingsEvery = 2 * time.Second

func (w *settingsWatcher) run(ctx context.Context) {
	defer close(w.done)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	modified := w.modified()
	for {
		select {
		case <-hangups:
			w.reload("signal")
			modified = w.modified()
		case <-ticker.C:
			if now := w.modified(); !now.Equal(modified) {
				modified = now
				w.reload("file changed")
			}
		case <-ctx.Done():
			return
		}
	}
}

func (w *settingsWatcher) modified() time.Time {
	info, err := os.Stat(w.file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (w *settingsWatcher) reload(cause string) {
	if _, err := platform.LoadNode(w.file); err != nil {
		w.log.Error("settings unreadable, former ones kept", "cause", cause, "error", err.Error())
		return
	}
	w.log.Info("settings read anew", "cause", cause)
}
