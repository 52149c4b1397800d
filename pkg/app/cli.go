package app

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/operator"
	"github.com/redwingstall/redwingstall/pkg/settings"
	"github.com/redwingstall/redwingstall/pkg/templates"
	"github.com/redwingstall/redwingstall/platform"
)

// Exit codes of the program.
const (
	ExitSuccess = 0
	ExitRefused = 1
	ExitUsage   = 2
	ExitUnknown = 3
)

// Arguments of the program, as go-arg parses them.
type Arguments struct {
	Serve    *ServeCommand    `arg:"subcommand:serve" help:"run an entry instance"`
	Gateway  *GatewayCommand  `arg:"subcommand:gateway" help:"run an instance on a platform"`
	Explain  *ExplainCommand  `arg:"subcommand:explain" help:"print the log lines on standard input that explain the outcome of a request"`
	Where    *WhereCommand    `arg:"subcommand:where" help:"show where an instance on a platform would send a request now, and why"`
	Check    *CheckCommand    `arg:"subcommand:check" help:"check settings, a template or an account offline"`
	Template *TemplateCommand `arg:"subcommand:template" help:"publish, list or show templates"`
	Account  *AccountCommand  `arg:"subcommand:account" help:"set, list, show or render client accounts"`
	Domain   *DomainCommand   `arg:"subcommand:domain" help:"take a failure domain out of service, return it, or list all"`
	Server   *ServerCommand   `arg:"subcommand:server" help:"list backend servers, drain one, or return it to service"`
	Key      *KeyCommand      `arg:"subcommand:key" help:"locate the owner of a key"`
	Outcome  *OutcomeCommand  `arg:"subcommand:outcome" help:"list or resolve unknown outcomes"`
	Member   *MemberCommand   `arg:"subcommand:member" help:"confirm that the process of an instance has terminated"`
	Status   *StatusCommand   `arg:"subcommand:status" help:"show the state of the cluster as an entry instance sees it"`
	Counters *CountersCommand `arg:"subcommand:counters" help:"show the counters of an entry instance"`

	Instance  string `arg:"--instance,env:REDWINGSTALL_INSTANCE" help:"address of the operators' listener of any entry instance" placeholder:"IP:PORT"`
	TokenFile string `arg:"--token-file,env:REDWINGSTALL_TOKEN_FILE" help:"file that contains the operators' token"`
	Authority string `arg:"--authority" help:"PEM file with the certificate authority of the operators' listener; enables TLS"`
	JSON      bool   `arg:"--json" help:"print responses as JSON"`
}

// Description returns the text that --help prints first.
func (Arguments) Description() string {
	return "redwingstall routes requests to servers that own keys exclusively.\n" +
		"Exit codes: 0 success, 1 refused, 2 invalid usage or settings, 3 outcome unknown."
}

// Subcommands of the program.
type (
	// ServeCommand runs an entry instance.
	ServeCommand struct {
		Config string `arg:"--config,required" help:"settings file"`
		Print  bool   `arg:"--print" help:"print the effective settings and exit"`
	}
	// GatewayCommand runs an instance with a platform's settings file.
	GatewayCommand struct {
		Settings string `arg:"--settings" help:"the platform's settings file; without it, REDWINGSTALL_NODE_FILE names the file"`
	}
	// ExplainCommand explains the outcome of a request from the logs of instances on a
	// platform.
	ExplainCommand struct {
		ID string `arg:"positional,required" help:"request id"`
	}
	// WhereCommand describes a request that is explained, and not sent.
	WhereCommand struct {
		Host       string        `arg:"--host,required" help:"host of the request"`
		Path       string        `arg:"--path,required" help:"path of the request"`
		Method     string        `arg:"--method" default:"GET"`
		Key        *int          `arg:"--key" help:"key of a request to a keyed service"`
		Account    string        `arg:"--account" help:"name of the client account"`
		APIKeyFile string        `arg:"--api-key-file" help:"file that contains an API key of the client account"`
		Timeout    time.Duration `arg:"--timeout" help:"timeout that the client states"`
	}
	// CheckCommand checks files offline.
	CheckCommand struct {
		Platform string `arg:"--platform" help:"a platform's settings file"`
		Settings string `arg:"--settings" help:"settings file"`
		Template string `arg:"--template" help:"template file"`
		Account  string `arg:"--account" help:"account file, together with its template"`
	}
	// TemplateCommand holds the commands and queries on templates.
	TemplateCommand struct {
		Publish *FileCommand `arg:"subcommand:publish" help:"publish a template file"`
		List    *struct{}    `arg:"subcommand:list"`
		Show    *NameCommand `arg:"subcommand:show"`
	}
	// AccountCommand holds the commands and queries on client accounts.
	AccountCommand struct {
		Set    *FileCommand `arg:"subcommand:set" help:"set an account from a file"`
		List   *struct{}    `arg:"subcommand:list"`
		Show   *NameCommand `arg:"subcommand:show"`
		Render *NameCommand `arg:"subcommand:render"`
	}
	// FileCommand sends a file to an entry instance.
	FileCommand struct {
		File   string `arg:"positional,required"`
		Expect int64  `arg:"--expect" help:"fail unless this is the newest revision"`
		Force  bool   `arg:"--force" help:"accept quiet hours that leave a service without a failure domain"`
	}
	// NameCommand takes one name.
	NameCommand struct {
		Name string `arg:"positional,required"`
	}
	// DomainCommand holds the commands and queries on failure domains.
	DomainCommand struct {
		TakeOut *NameCommand `arg:"subcommand:take-out"`
		Return  *NameCommand `arg:"subcommand:return"`
		Status  *struct{}    `arg:"subcommand:status"`
	}
	// ServerCommand holds the commands and queries on backend servers.
	ServerCommand struct {
		List   *struct{}      `arg:"subcommand:list"`
		Leave  *ServerNameArg `arg:"subcommand:leave"`
		Return *ServerNameArg `arg:"subcommand:return"`
	}
	// ServerNameArg identifies a backend server.
	ServerNameArg struct {
		Account string `arg:"positional,required"`
		Name    string `arg:"positional,required"`
	}
	// KeyCommand holds the queries on keys.
	KeyCommand struct {
		Locate *LocateCommand `arg:"subcommand:locate"`
	}
	// LocateCommand identifies a key.
	LocateCommand struct {
		Account string `arg:"positional,required"`
		Service string `arg:"positional,required"`
		Key     string `arg:"positional,required"`
	}
	// OutcomeCommand holds the commands and queries on outcomes.
	OutcomeCommand struct {
		List    *ServiceNameArg `arg:"subcommand:list"`
		Resolve *ResolveCommand `arg:"subcommand:resolve"`
	}
	// ServiceNameArg identifies a service.
	ServiceNameArg struct {
		Account string `arg:"positional,required"`
		Service string `arg:"positional,required"`
	}
	// ResolveCommand resolves the unknown outcome of a request.
	ResolveCommand struct {
		ServiceNameArg
		Key    string `arg:"positional,required" help:"idempotency key"`
		Ran    bool   `arg:"--ran" help:"the server ran the request"`
		NotRun bool   `arg:"--not-run" help:"the server did not run the request"`
	}
	// MemberCommand holds the commands on members.
	MemberCommand struct {
		Gone *NameCommand `arg:"subcommand:gone" help:"confirm that the process with this member ID has terminated for certain"`
	}
	// StatusCommand shows the state of the cluster as an instance sees it.
	StatusCommand struct {
		Watch time.Duration `arg:"--watch" help:"print the status repeatedly, at this interval"`
	}
	// CountersCommand shows counters.
	CountersCommand struct {
		Prefix string `arg:"positional" help:"show only counters whose names start with this"`
	}
)

// Main runs the program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	arguments := Arguments{}
	parser, err := arg.NewParser(arg.Config{Program: "redwingstall", Out: stderr}, &arguments)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return ExitSuccess
	case err != nil:
		fmt.Fprintln(stderr, "redwingstall:", err)
		return ExitUsage
	}
	return exitCode(run(arguments, stdout, stderr), stderr)
}

// errUsage marks errors of invalid arguments, settings or files.
var errUsage = errors.New("invalid usage")

// exitCode prints an error and returns the exit code for it.
func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return ExitSuccess
	}
	fmt.Fprintln(stderr, err)
	switch {
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, redwingstall.ErrUnavailable):
		return ExitUnknown
	}
	return ExitRefused
}

func run(a Arguments, stdout, stderr io.Writer) error {
	switch {
	case a.Serve != nil:
		return serve(*a.Serve, stdout, stderr)
	case a.Gateway != nil:
		return serveGateway(*a.Gateway, stdout)
	case a.Explain != nil:
		return explain(a.Explain.ID, os.Stdin, stdout)
	case a.Where != nil:
		return where(context.Background(), *a.Where, a.Instance, printer{stdout, a.JSON})
	case a.Check != nil:
		return check(*a.Check, stdout)
	}
	client, err := newClient(a)
	if err != nil {
		return err
	}
	ctx := context.Background()
	call, found := selectCall(a)
	if !found {
		return errors.Mark(errors.New("no command given; see --help"), errUsage)
	}
	return call(ctx, client, printer{stdout, a.JSON})
}

func serve(command ServeCommand, stdout, stderr io.Writer) error {
	s, err := settings.Load(command.Config)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	if command.Print {
		text, err := s.Encode()
		fmt.Fprint(stdout, text)
		return err
	}
	return Serve(s, stderr)
}

func check(command CheckCommand, stdout io.Writer) error {
	if command.Settings == "" && command.Template == "" && command.Platform == "" {
		return errors.Mark(errors.New("check requires --settings, --platform or --template"), errUsage)
	}
	if command.Platform != "" {
		if _, err := platform.LoadNode(command.Platform); err != nil {
			return errors.Mark(err, errUsage)
		}
		fmt.Fprintf(stdout, "%s: platform settings are valid\n", command.Platform)
	}
	if command.Settings != "" {
		if _, err := settings.Load(command.Settings); err != nil {
			return errors.Mark(err, errUsage)
		}
		fmt.Fprintf(stdout, "%s: settings are valid\n", command.Settings)
	}
	if command.Template != "" {
		return checkTemplate(command, stdout)
	}
	return nil
}

func checkTemplate(command CheckCommand, stdout io.Writer) error {
	text, err := os.ReadFile(command.Template)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	template, err := templates.ParseTemplate(command.Template, text)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	account := templates.Account{Name: template.Name, Template: template.Name}
	if command.Account != "" {
		text, err := os.ReadFile(command.Account)
		if err != nil {
			return errors.Mark(err, errUsage)
		}
		if account, err = templates.ParseAccount(command.Account, text); err != nil {
			return errors.Mark(err, errUsage)
		}
	}
	document := templates.Document{
		Templates: map[string]templates.Template{template.Name: template},
		Accounts:  map[string]templates.Account{account.Name: account},
	}
	timing := settings.Default().Timing
	if err := document.Check(time.Now(), timing.QuietLead, timing.ClockSkewBound, false); err != nil {
		return errors.Mark(err, errUsage)
	}
	deployment, err := document.Deployment(account.Name)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	fmt.Fprintf(stdout, "%s: valid for account %s: %d services, failure domains %s\n",
		command.Template, account.Name, len(deployment.Services), strings.Join(deployment.FailureDomains(), ", "))
	return nil
}

func newClient(a Arguments) (*operator.Client, error) {
	if a.Instance == "" || a.TokenFile == "" {
		return nil, errors.Mark(errors.New("--instance and --token-file are required"), errUsage)
	}
	token, err := readToken(a.TokenFile)
	if err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	config, err := clientTLS(a.Authority)
	if err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	return operator.NewClient(a.Instance, token, config), nil
}

// printer prints responses, as JSON or as text.
type printer struct {
	out    io.Writer
	asJSON bool
}

// printResponse prints the body of a response, as JSON or as the text that render
// writes.
func printResponse[T any](p printer, body []byte, render func(io.Writer, T)) error {
	if p.asJSON {
		_, err := p.out.Write(body)
		return err
	}
	var value T
	if err := json.Unmarshal(body, &value); err != nil {
		return errors.Wrap(err, "decode response")
	}
	render(p.out, value)
	return nil
}
