// Package command implements the command line of the stand-ins: the platform, backend servers, a
// load generator for loopback addresses, benchmarks and plots. It is not part of the product.
package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall/pkg/standin"
	"github.com/redwingstall/redwingstall/pkg/templates"
)

type arguments struct {
	Platform *platformCommand `arg:"subcommand:platform" help:"run the store and the live list"`
	Backends *backendsCommand `arg:"subcommand:backends" help:"run the backend servers of an account"`
	Load     *loadCommand     `arg:"subcommand:load" help:"send a load and print its results"`
	Capacity *struct{}        `arg:"subcommand:capacity" help:"measure operations of the product at several sizes"`
	Plots    *plotsCommand    `arg:"subcommand:plots" help:"draw CSV files as SVG"`
	Balance  *struct{}        `arg:"subcommand:balance" help:"compare balancing policies under one load"`
}

type platformCommand struct {
	Store    string        `arg:"--store,required" help:"address of the store"`
	LiveList string        `arg:"--live-list,required" help:"address of the live list"`
	Lag      time.Duration `arg:"--lag" default:"2s"`
}

type backendsCommand struct {
	Template  string        `arg:"--template,required"`
	Account   string        `arg:"--account"`
	Service   string        `arg:"--service" help:"only this service"`
	Server    string        `arg:"--server" help:"only this server"`
	Work      time.Duration `arg:"--work" default:"2ms"`
	WarmAfter int           `arg:"--warm-after" default:"20"`
}

type plotsCommand struct {
	From string `arg:"--from,required" help:"folder of the CSV files"`
	To   string `arg:"--to,required" help:"folder of the SVG files"`
}

type loadCommand struct {
	Targets  string        `arg:"--targets,required" help:"comma-separated addresses"`
	Path     string        `arg:"--path,required"`
	Keys     int           `arg:"--keys" default:"1000"`
	Method   string        `arg:"--method" default:"GET"`
	Rate     float64       `arg:"--rate"`
	InFlight int           `arg:"--in-flight" default:"1"`
	Duration time.Duration `arg:"--duration" default:"5s"`
	Timeout  time.Duration `arg:"--timeout" default:"5s"`
	Zipf     float64       `arg:"--zipf"`
	Seed     uint64        `arg:"--seed" default:"1"`
	Key      bool          `arg:"--idempotency-key"`
	Header   []string      `arg:"--header,separate" help:"Name=value"`
}

// Main runs the command line and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	a := arguments{}
	parser, err := arg.NewParser(arg.Config{Program: "standin"}, &a)
	if err == nil {
		err = parser.Parse(args)
	}
	if err == nil {
		err = run(a, stdout)
	}
	if err != nil {
		fmt.Fprintln(stderr, "standin:", err)
		return 1
	}
	return 0
}

func run(a arguments, stdout io.Writer) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	switch {
	case a.Platform != nil:
		return runPlatform(ctx, *a.Platform)
	case a.Backends != nil:
		return runBackends(ctx, *a.Backends)
	case a.Load != nil:
		return runLoad(ctx, *a.Load, stdout)
	case a.Plots != nil:
		return standin.DrawPlots(a.Plots.From, a.Plots.To)
	case a.Balance != nil:
		standin.MeasureBalance(stdout)
		return nil
	case a.Capacity != nil:
		standin.MeasureCapacity(stdout)
		return nil
	}
	return errors.New("no command given; see --help")
}

func runPlatform(ctx context.Context, c platformCommand) error {
	if err := startServer(c.Store, standin.NewStore().Handler(), nil); err != nil {
		return err
	}
	if err := startServer(c.LiveList, standin.NewLiveList(c.Lag).Handler(), nil); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// startServer listens on the address and serves it in the background.
func startServer(address string, handler http.Handler, connState func(net.Conn, http.ConnState)) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ConnState: connState, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // stops when the process exits
	return nil
}

func runBackends(ctx context.Context, c backendsCommand) error {
	deployment, err := loadDeployment(c)
	if err != nil {
		return err
	}
	for _, service := range deployment.Services {
		for _, server := range service.Servers {
			if c.Service != "" && c.Service != service.Name || c.Server != "" && c.Server != server.Name {
				continue
			}
			backend := standin.NewBackend(standin.BackendConfig{
				Name:           server.Name,
				Slots:          server.Slots,
				ColdLimit:      server.ColdLimit,
				ChecksFences:   server.ChecksFences,
				Keyed:          service.Kind == templates.KindKeyed,
				WarmAfter:      c.WarmAfter,
				ProcessingTime: c.Work,
			})
			if err := startServer(server.Address, backend.Handler(), backend.CountConnections); err != nil {
				return err
			}
		}
	}
	<-ctx.Done()
	return nil
}

// loadDeployment renders the template for the account, or with its defaults if no account is given.
func loadDeployment(c backendsCommand) (templates.Deployment, error) {
	text, err := os.ReadFile(c.Template)
	if err != nil {
		return templates.Deployment{}, err
	}
	template, err := templates.ParseTemplate(c.Template, text)
	if err != nil {
		return templates.Deployment{}, err
	}
	account := templates.Account{Name: template.Name, Template: template.Name}
	if c.Account == "" {
		return template.Render(account)
	}
	text, err = os.ReadFile(c.Account)
	if err != nil {
		return templates.Deployment{}, err
	}
	account, err = templates.ParseAccount(c.Account, text)
	if err != nil {
		return templates.Deployment{}, err
	}
	return template.Render(account)
}

func runLoad(ctx context.Context, c loadCommand, stdout io.Writer) error {
	header := http.Header{}
	for _, text := range c.Header {
		name, value, _ := strings.Cut(text, "=")
		header.Add(name, value)
	}
	report, err := standin.RunLoad(ctx, standin.LoadConfig{
		Targets:           strings.Split(c.Targets, ","),
		Path:              c.Path,
		Keys:              c.Keys,
		Method:            c.Method,
		Rate:              c.Rate,
		InFlight:          c.InFlight,
		Duration:          c.Duration,
		Timeout:           c.Timeout,
		Zipf:              c.Zipf,
		Seed:              c.Seed,
		AddIdempotencyKey: c.Key,
		Header:            header,
	})
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	fmt.Fprintln(stdout, string(text))
	return nil
}
