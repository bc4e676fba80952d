// Command sorrelrudder is the product: a gateway of several pools from an operator's file, and its laboratory.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"

	"github.com/alecthomas/kong"

	"sorrelrudder/internal/config"
	"sorrelrudder/internal/e2e"
)

// The exit codes.
const (
	exitFailed = 1 // the work failed, or a scenario broke a rule or missed a bound
	exitUsage  = 2 // the command line or the file is wrong
)

// cli is the command line.
type cli struct {
	Run     runCmd     `cmd:"" help:"Run a gateway from an operator's file. SIGHUP reads the file again, SIGTERM drains and ends."`
	Check   checkCmd   `cmd:"" help:"Check an operator's file: every error with file, line and key; exit 2 if there is any."`
	Route   routeCmd   `cmd:"" help:"Tell which route and class of an operator's file take a request."`
	Fleet   fleetCmd   `cmd:"" help:"Count over a fleet what its processes tell in their logs (figures_every, GW_FIGURES_EVERY)."`
	Emulate emulateCmd `cmd:"" help:"Play a day's file in virtual time with several seeds; exit 1 if a rule was broken."`
	Tier    tierCmd    `cmd:"" help:"Found a fleet; ask a running process of its council, leases and tasks, and change them."`
	Lab     labCmd     `cmd:"" help:"Play a scenario on loopback against stand-ins and check the four rules; exit 1 if one broke or a bound was missed."`
	Version versionCmd `cmd:"" help:"Print the version."`
	Worker  workerCmd  `cmd:"" name:"explore-worker" hidden:"" help:"Play seeds for 'lab tier-explore'."`
	Proxy   proxyCmd   `cmd:"" hidden:"" help:"The plain reverse proxy that 'lab cost' compares with."`
}

// errUsage is wrapped by errors on arguments that the command line's syntax cannot tell, and on day files. The program ends with exitUsage.
var errUsage = errors.New("emulate")

// streams are where commands print.
type streams struct{ out, err io.Writer }

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes a command line and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	var c cli
	exited := -1
	parser, err := kong.New(&c, kong.Name("sorrelrudder"), kong.Writers(stdout, stderr), kong.Vars{"cores": strconv.Itoa(runtime.NumCPU())},
		kong.Description("A gateway between applications and their services, built for large scale and for failure."),
		kong.Exit(func(code int) { exited = code }), kong.UsageOnError(), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		fmt.Fprintln(stderr, "sorrelrudder:", err)
		return exitFailed
	}
	if len(args) == 0 {
		args = []string{"--help"}
	}
	ctx, err := parser.Parse(args)
	if exited >= 0 { // --help
		return exited
	}
	if err != nil {
		fmt.Fprintf(stderr, "sorrelrudder: %v (see sorrelrudder --help)\n", err)
		return exitUsage
	}
	err = ctx.Run(&streams{stdout, stderr})
	var bad config.Errors
	switch {
	case err == nil:
		return 0
	case errors.As(err, &bad):
		fmt.Fprintln(stderr, bad)
		return exitUsage
	case errors.Is(err, errUsage):
		fmt.Fprintln(stderr, "sorrelrudder:", err)
		return exitUsage
	case errors.Is(err, errScenario):
		return exitFailed
	case errors.Is(err, e2e.ErrUnknownScenario), errors.Is(err, os.ErrNotExist):
		fmt.Fprintln(stderr, "sorrelrudder:", err)
		return exitUsage
	}
	fmt.Fprintln(stderr, "sorrelrudder:", err)
	return exitFailed
}

// checkCmd checks an operator's file.
type checkCmd struct {
	File  string `arg:"" help:"The operator's file."`
	Print bool   `help:"Write the file out with all defaults."`
}

// Run implements the command.
func (c *checkCmd) Run(s *streams) error {
	f, err := config.Load(c.File)
	if err != nil {
		return err
	}
	for _, w := range f.Warnings {
		fmt.Fprintln(s.err, "warning:", w)
	}
	if c.Print {
		_, err = io.WriteString(s.out, f.String())
		return err
	}
	g := &f.Gateway
	_, err = fmt.Fprintf(s.out, "%s is right: %d listeners, %d pools, %d routes\n", c.File, len(g.Listeners), len(g.Pools), len(g.Routes))
	return err
}

// versionCmd prints the version.
type versionCmd struct{}

// Run implements the command.
func (versionCmd) Run(s *streams) error {
	version, revision := "(devel)", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		if info.Main.Version != "" {
			version = info.Main.Version
		}
		for _, v := range info.Settings {
			if v.Key == "vcs.revision" {
				revision = v.Value
			}
		}
	}
	_, err := fmt.Fprintf(s.out, "sorrelrudder %s, revision %s, %s\n", version, revision, runtime.Version())
	return err
}
