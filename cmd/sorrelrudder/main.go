// Command sorrelrudder is the product: a gateway of several pools from an operator's file, and its laboratory.
package main

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"sorrelrudder/internal/config"
	"sorrelrudder/internal/e2e"
	"sorrelrudder/internal/fleet"
	"sorrelrudder/internal/gateway"
	"sorrelrudder/internal/h2"
	"sorrelrudder/internal/sitelink"
	"sorrelrudder/internal/tlsfiles"
)

// The exit codes.
const (
	exitFailed = 1 // the work failed, or a scenario broke a rule or missed a bound
	exitUsage  = 2 // the command line or the file is wrong
)

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

// errDay is what is wrong with a day's file or how it is to be played.
var errDay = errors.New("emulate")

type streams struct{ out, err io.Writer }

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run carries out a command line, and returns the exit code.
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
	case errors.Is(err, errDay):
		fmt.Fprintln(stderr, "sorrelrudder:", err)
		return exitUsage
	case errors.Is(err, errScenario):
		return exitFailed
	case errors.Is(err, e2e.ErrUnknown), errors.Is(err, os.ErrNotExist):
		fmt.Fprintln(stderr, "sorrelrudder:", err)
		return exitUsage
	}
	fmt.Fprintln(stderr, "sorrelrudder:", err)
	return exitFailed
}

type runCmd struct {
	File string `arg:"" help:"The operator's file."`
}

func (c *runCmd) Run(s *streams) error {
	// Caught from the first moment on: left alone, it would end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	f, err := config.Load(c.File)
	if err != nil {
		return err
	}
	limit(f)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log := slog.New(slog.NewTextHandler(s.err, nil))
	g, err := start(f, log)
	if err != nil {
		return err
	}
	running := ctx
	if f.Tier != nil {
		t, err := startTier(*f.Tier, g, log)
		if err != nil {
			g.Close()
			return err
		}
		defer t.Close()
		// What this process holds is given up before it takes no more requests: tasks that are out end first.
		left, end := context.WithCancel(context.Background())
		defer end()
		running = left
		go func() {
			<-ctx.Done()
			t.Leave()
			end()
		}()
	}
	followed := make(chan struct{})
	go func() {
		defer close(followed)
		follow(ctx, reload, c.File, f, g, log)
	}()
	err = g.Run(running)
	stop()
	<-followed
	return err
}

// startTier has the process take part in its fleet.
func startTier(cfg fleet.Config, g *gateway.Gateway, log *slog.Logger) (*fleet.Host, error) {
	t, err := fleet.New(cfg, log)
	if err != nil {
		return nil, err
	}
	if err := t.Start(g); err != nil {
		t.Close()
		return nil, err
	}
	return t, nil
}

// start makes the process of a file, and opens its listeners and links.
func start(f *config.File, log *slog.Logger) (*gateway.Gateway, error) {
	speech := gateway.ListenerProtocols{Multiplexed: h2.Protocol{Log: log}, TLSConfig: secureWith(log)}
	if f.Bridge == nil {
		g, err := gateway.NewWithOptions(f.Gateway, log, gateway.Options{Protocols: speech})
		if err != nil {
			return nil, err
		}
		return g, closeUnless(g, g.Listen())
	}
	b, err := sitelink.New(*f.Bridge, log)
	if err != nil {
		return nil, err
	}
	g, err := gateway.NewWithOptions(f.Gateway, log, gateway.Options{Extension: b, Protocols: speech})
	if err != nil {
		b.Close()
		return nil, err
	}
	if err := closeUnless(g, b.Start(g)); err != nil {
		return nil, err
	}
	return g, closeUnless(g, g.Listen())
}

// lookEvery is how often the files of certificates are looked at.
const lookEvery = time.Second

// secureWith makes the TLS of listeners from files, which are read again when they change.
func secureWith(log *slog.Logger) func(context.Context, gateway.TLS) (*tls.Config, error) {
	return func(ctx context.Context, t gateway.TLS) (*tls.Config, error) {
		s, err := tlsfiles.Load(config.CertificatesOf(t), log)
		if err != nil {
			return nil, err
		}
		go s.Watch(ctx, lookEvery)
		return s.Config(), nil
	}
}

// closeUnless closes g if there was an error, which it returns.
func closeUnless(g *gateway.Gateway, err error) error {
	if err != nil {
		g.Close()
	}
	return err
}

// limit keeps the process to what the file gives it.
func limit(f *config.File) {
	runtime.GOMAXPROCS(f.Cores)
	// Guards against being killed for memory: the rest is for stacks of the runtime, code and the kernel.
	debug.SetMemoryLimit(int64(f.Gateway.MemoryMB) << 20 / 4 * 3)
}

// follow reads the file again at each signal until ctx ends. One that cannot be used leaves the present one in force.
func follow(ctx context.Context, reload <-chan os.Signal, file string, first *config.File, g *gateway.Gateway, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		}
		f, err := config.Load(file)
		if err == nil {
			err = g.Apply(f.Gateway)
		}
		if err == nil && !reflect.DeepEqual(f.Bridge, first.Bridge) {
			log.Warn("what the file says of sites, peers and spilling has changed, and waits for the next start")
		}
		if err == nil && !reflect.DeepEqual(f.Tier, first.Tier) {
			log.Warn("what the file says of the tier and its tasks has changed, and waits for the next start")
		}
		if err != nil {
			log.Error("reload: the running configuration stays in force", "err", err)
			continue
		}
		limit(f)
		log.Info("reloaded", "file", file, "load", g.String())
	}
}

type checkCmd struct {
	File  string `arg:"" help:"The operator's file."`
	Print bool   `help:"Write the file out with all defaults."`
}

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

type labCmd struct {
	Scenario string        `arg:"" optional:"" default:"list" help:"The scenario to play; 'list' lists them."`
	Seed     uint64        `default:"1" help:"What the day is drawn from."`
	Duration time.Duration `help:"How long the load lasts; 0 for the scenario's usual time."`
	JSON     bool          `help:"Print one JSON object in place of the table."`
	Faults   string        `help:"Do the faults of this file to a fleet in place of drawn ones; --json prints them as it wants them."`
	Seeds    uint64        `default:"1000" help:"tier-explore: how many seeds, from --seed on."`
	Workers  int           `default:"${cores}" help:"tier-explore: how many processes play them."`
	Plant    string        `help:"tier-explore: a mistake to plant, which it has to find."`
	Copies   bool          `help:"tier-explore: the processes also share state, and what must not be of that is looked for too."`
	Zones    bool          `help:"tier-explore: and leave zones of servers that fail, and return to them."`
	Sizes    []int         `default:"10,60,300" help:"replica-scale: processes of each fleet."`
	Loss     []float64     `default:"0,0.1,0.3" help:"replica-scale: shares of all messages that are lost."`
	Replay   string        `help:"tier-explore: play this saved run, as a time line; -v with each message."`
	Verbose  bool          `short:"v" help:"Show the program's log."`
}

// errScenario is a scenario that ran and did not pass. Its report says why.
var errScenario = errors.New("the scenario did not pass")

func (c *labCmd) Run(s *streams) error {
	if c.Scenario == "list" {
		for _, sc := range e2e.List() {
			fmt.Fprintf(s.out, "%-16s %6s  %s\n", sc.Name, sc.Duration, sc.Summary)
		}
		fmt.Fprintf(s.out, "%-16s %6s  %s\n", "tier-explore", "", "fleets in virtual time under drawn faults, thousands of seeds; see --seeds, --plant, --copies, --zones, --replay")
		fmt.Fprintf(s.out, "%-16s %6s  %s\n", "replica-scale", "", "shared state in virtual time: how soon all have what one writes, what it costs, how the dead are missed; see --sizes, --loss")
		return nil
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if c.Scenario == "tier-explore" {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
		defer stop()
		return c.tierExplore(ctx, s, self)
	}
	if c.Scenario == "replica-scale" {
		return c.replicaScale(s)
	}
	o := e2e.Options{Seed: c.Seed, Duration: c.Duration, Program: []string{self}, Faults: c.Faults}
	if c.Verbose {
		o.Log = s.err
	} else if f, ok := s.err.(*os.File); ok && isTerminal(f) {
		o.Progress = f
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	r, err := e2e.Play(ctx, c.Scenario, o)
	if err != nil {
		return err
	}
	if c.JSON {
		err = r.WriteJSON(s.out)
	} else {
		err = r.WriteTable(s.out)
	}
	if err == nil && !r.Pass {
		return errScenario
	}
	return err
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

type versionCmd struct{}

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
