// Command sorrelrudder runs a client-side load balancer with several pools. Its configuration file is called the operator's file in the
// code. The command also checks that file, operates a fleet, and tests the load balancer in end-to-end scenarios and simulations.
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
	exitFailed = 1 // the command failed, a rule was violated, or a measured value was out of bounds
	exitUsage  = 2 // the command line or a file is invalid
)

// cli defines the commands of the program.
type cli struct {
	Run     runCmd     `cmd:"" help:"Run a gateway with a configuration file. SIGHUP reloads the file. SIGTERM drains the gateway: it answers the requests that it has accepted, then exits."`
	Check   checkCmd   `cmd:"" help:"Check a configuration file and print every error with its file, line and key; exit 2 if there is an error."`
	Route   routeCmd   `cmd:"" help:"Print the route, the pool and the class that a configuration file selects for a request."`
	Fleet   fleetCmd   `cmd:"" help:"Add up the statistics in the logs of all processes of a fleet, by interval. The processes log them if figures_every or GW_FIGURES_EVERY is set."`
	Emulate emulateCmd `cmd:"" help:"Emulate the clients, instances and servers of a scenario file in virtual time, with several seeds, and check these rules: one response per request, within its deadline; no attempt after the response or the deadline; no repeat that the class of the request forbids; no attempt at a server that is draining or removed; no overload during slow start. Exit 1 if a rule is violated."`
	Tier    tierCmd    `cmd:"" help:"Create a fleet; show and change its consensus group, leases, tasks, shared state and zones through a running member. A fleet is a set of gateways with a [tier] section in their configuration files, which coordinate through a consensus group."`
	Lab     labCmd     `cmd:"" help:"Run an end-to-end scenario on loopback against fake servers and check the four rules: each request gets one final response in time and no attempt after it; no effect occurs twice; a backend gets no new request once the grace after the notice of its draining or removal has passed; all instances together do not overload a warming backend. Exit 1 if a rule is violated or a bound is missed."`
	Version versionCmd `cmd:"" help:"Print the version, the revision and the Go version."`
	Worker  workerCmd  `cmd:"" name:"explore-worker" hidden:"" help:"Simulate a range of seeds for 'lab tier-explore' and print each outcome as a line of JSON."`
	Proxy   proxyCmd   `cmd:"" hidden:"" help:"Run the plain reverse proxy that 'lab cost' compares the gateway with."`
}

// errInvalidInput is wrapped by errors about scenario files and about most argument values that the command-line parser accepts. The
// program then exits with exitUsage. The errors about the URL and the header fields of 'route' and about --every of 'fleet' don't wrap it,
// and the program exits with exitFailed.
var errInvalidInput = errors.New("invalid input")

// streams are the writers that commands print to.
type streams struct{ out, err io.Writer }

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes a command line and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	var c cli
	exited := -1
	parser, err := kong.New(&c, kong.Name("sorrelrudder"), kong.Writers(stdout, stderr), kong.Vars{"cores": strconv.Itoa(runtime.NumCPU())},
		kong.Description("A client-side load balancer between applications and the services they call, built for large scale and fault tolerance."),
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
	case errors.Is(err, errInvalidInput):
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

// checkCmd checks an operator's file, and prints its summary or its settings with all defaults.
type checkCmd struct {
	File  string `arg:"" help:"Check this configuration file."`
	Print bool   `help:"Print the file with all its settings, defaults included."`
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
	_, err = fmt.Fprintf(s.out, "%s is valid: %d listeners, %d pools, %d routes\n", c.File, len(g.Listeners), len(g.Pools), len(g.Routes))
	return err
}

// versionCmd prints the versions of the program and of Go.
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
