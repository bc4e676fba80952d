package e2e

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"sorrelrudder/internal/fake"
)

// The times of fleets in the end-to-end tests: short, so that a run of seconds sees many leases.
const (
	leaseTTL      = time.Second
	consensusTick = 20 * time.Millisecond
	clockDrift    = 0.05
)

const (
	commandTimeout = 10 * time.Second // of an operator's command
	statusTimeout  = "2s"             // of a question to a member, as the command line has it
	conditionPoll  = 10 * time.Millisecond
)

// errNotRecovered tells that a fleet did not recover after the last fault.
var errNotRecovered = errors.New("the fleet does not come to itself")

// fleet is a fleet of real processes, each on a loopback address of its own, with a fault-injecting link between every ordered pair.
type fleet struct {
	env      *Env
	cfg      fleetConfig
	dir      string               // of its files
	secret   string               // file of the members' common secret
	resource *fake.FencedResource // what its tasks act on
	backends []*fake.Backend
	members  []*fleetMember
	proxies  map[[2]int]*fake.FrameProxy // by the members' indexes, from and to
	started  time.Time

	logMu sync.Mutex // held while a line is written to the log
}

func (f *fleet) killAll() {
	for _, member := range f.members {
		member.kill()
	}
}

// logEvent writes to the log what is done to the fleet, and when.
func (f *fleet) logEvent(format string, args ...any) {
	f.logMu.Lock()
	defer f.logMu.Unlock()
	if f.env.options.Log != nil {
		fmt.Fprintf(f.env.options.Log, "%7.3fs %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, args...))
	}
}

// runCommand runs the program as an operator does, and returns what it printed.
func (f *fleet) runCommand(args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	all := append(slices.Clone(f.env.options.Program[1:]), args...)
	out, err := exec.CommandContext(ctx, f.env.options.Program[0], all...).CombinedOutput()
	return string(out), err
}

// commandMember runs a command of the fleet at a member, and returns what it printed.
func (f *fleet) commandMember(member *fleetMember, args ...string) (string, error) {
	all := append([]string{"tier"}, args...)
	return f.runCommand(append(all, member.addr, "--secret", f.secret)...)
}

// mustCommandMember does the same where a failure ends the scenario.
func (f *fleet) mustCommandMember(member *fleetMember, args ...string) error {
	if out, err := f.commandMember(member, args...); err != nil {
		return fmt.Errorf("%s: %w: %s", strings.Join(args, " "), err, out)
	}
	return nil
}

// queryMember runs a command that prints JSON at a member, and decodes it into result.
func (f *fleet) queryMember(member *fleetMember, command string, result any) error {
	out, err := f.commandMember(member, command, "--json", "--timeout", statusTimeout)
	if err == nil {
		err = json.Unmarshal([]byte(out), result)
	}
	if err != nil {
		return fmt.Errorf("tier %s of %s: %w: %s", command, member.name, err, out)
	}
	return nil
}

// awaitCondition waits until a condition holds. The error has the ends of the members' logs.
func (f *fleet) awaitCondition(ctx context.Context, timeout time.Duration, what string, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !holds() {
		if pause(ctx, conditionPoll) {
			continue
		}
		var tails []string
		for _, member := range f.members {
			tails = append(tails, member.name+":\n"+member.currentProgram().LogTail(6))
		}
		return fmt.Errorf("waited %v in vain: %s\n%s", timeout, what, strings.Join(tails, "\n"))
	}
	return nil
}

// memberStatus is what a scenario reads of a member's status. The names of the fields are those of its JSON.
type memberStatus struct {
	Holds   map[string]struct{ Token uint64 }
	Council *struct {
		Voters []uint64
		Fleet  *struct {
			Slots struct {
				Tasks map[string]struct {
					Slot    int64
					Counts  map[string]int64
					Skipped int64
				}
			}
		}
	}
}

// status asks a member for its status.
func (f *fleet) status(member *fleetMember) (s memberStatus, err error) {
	err = f.queryMember(member, "status", &s)
	return s, err
}

// voterStatus returns the status of the first voter that tells the state of the fleet.
func (f *fleet) voterStatus() (s memberStatus, ok bool) {
	for _, voter := range f.members[:f.cfg.voters] {
		if s, err := f.status(voter); err == nil && s.Council != nil && s.Council.Fleet != nil {
			return s, true
		}
	}
	return memberStatus{}, false
}

// voters returns the identities that vote, nil if no voter tells.
func (f *fleet) voters() []uint64 {
	if s, ok := f.voterStatus(); ok {
		return s.Council.Voters
	}
	return nil
}

// repairAndAwaitLease ends all faults, and waits until a lease is held.
func (f *fleet) repairAndAwaitLease(ctx context.Context, lease string) error {
	if err := f.repairAll(ctx); err != nil {
		return err
	}
	isHeld := func() bool { return f.leaseHolder(lease) >= 0 }
	if err := f.awaitCondition(ctx, 15*time.Second, lease+" is held", isHeld); err != nil {
		return fmt.Errorf("%w: %w", errNotRecovered, err)
	}
	return nil
}

// repairAll ends all faults, and starts the members that do not run.
func (f *fleet) repairAll(ctx context.Context) error {
	f.configureProxies(func(int, int) bool { return true }, func(w *fake.FrameFaults) { *w = fake.FrameFaults{} }, func(*fake.FrameFaults) {})
	for _, member := range f.members {
		os.Remove(member.diskFaultFile)
		member.currentProgram().Signal(syscall.SIGCONT)
		if err := member.start(); err != nil {
			return err
		}
		if err := member.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// drainAll shuts all members down gracefully.
func (f *fleet) drainAll() {
	var all sync.WaitGroup
	for _, member := range f.members {
		all.Go(func() {
			if err := member.currentProgram().Stop(); err != nil {
				f.env.Fail("%s ended with %v", member.name, err)
			}
		})
	}
	all.Wait()
}

// runOrder gives or lifts an order about a server, by a member that reaches the consensus group.
func (f *fleet) runOrder(verb, server string, by *fleetMember) error {
	if err := f.mustCommandMember(by, "order", verb, "farm", server); err != nil {
		return err
	}
	f.logEvent("order: %s %s", verb, server)
	return nil
}
