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

// Timing of the fleets. It is short, so that a run of a few seconds has many leases.
const (
	leaseTTL      = time.Second
	consensusTick = 20 * time.Millisecond
	clockDrift    = 0.05
)

const (
	commandTimeout = 10 * time.Second // for a command of an operator
	statusTimeout  = "2s"             // for a query to a member, as a value of --timeout
	conditionPoll  = 10 * time.Millisecond
)

// errNotRecovered is returned if a fleet does not return to its normal state after a fault.
var errNotRecovered = errors.New("fleet did not recover")

// fleet is a fleet of real processes. Each member listens on a loopback address of its own. A proxy that can inject faults stands between
// every ordered pair of members.
type fleet struct {
	env      *Env
	cfg      fleetConfig
	dir      string               // directory of the files of the fleet
	secret   string               // path of the file with the secret of the members
	resource *fake.FencedResource // resource on which the tasks act
	backends []*fake.Backend
	members  []*fleetMember
	proxies  map[[2]int]*fake.FrameProxy // by the indexes of the members: from, to
	started  time.Time

	logMu sync.Mutex // serializes writes to the log
}

func (f *fleet) killAll() {
	for _, member := range f.members {
		member.kill()
	}
}

// logEvent writes an action on the fleet and its time since the start to Options.Log.
func (f *fleet) logEvent(format string, args ...any) {
	f.logMu.Lock()
	defer f.logMu.Unlock()
	if f.env.options.Log != nil {
		fmt.Fprintf(f.env.options.Log, "%7.3fs %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, args...))
	}
}

// runCommand runs a command of the program, as an operator does, and returns its output.
func (f *fleet) runCommand(args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	all := append(slices.Clone(f.env.options.Program[1:]), args...)
	out, err := exec.CommandContext(ctx, f.env.options.Program[0], all...).CombinedOutput()
	return string(out), err
}

// commandMember runs a tier command against a member and returns its output.
func (f *fleet) commandMember(member *fleetMember, args ...string) (string, error) {
	all := append([]string{"tier"}, args...)
	return f.runCommand(append(all, member.addr, "--secret", f.secret)...)
}

// mustCommandMember is like commandMember, with the output in the error. It is for commands whose failure ends the scenario.
func (f *fleet) mustCommandMember(member *fleetMember, args ...string) error {
	if out, err := f.commandMember(member, args...); err != nil {
		return fmt.Errorf("tier %s: %w: %s", strings.Join(args, " "), err, out)
	}
	return nil
}

// queryMember runs a tier command against a member, and decodes the JSON that it prints into result.
func (f *fleet) queryMember(member *fleetMember, command string, result any) error {
	out, err := f.commandMember(member, command, "--json", "--timeout", statusTimeout)
	if err == nil {
		err = json.Unmarshal([]byte(out), result)
	}
	if err != nil {
		return fmt.Errorf("tier %s at %s: %w: %s", command, member.name, err, out)
	}
	return nil
}

// awaitCondition polls until a condition holds. The error of a timeout names the condition and quotes the last log lines of all members.
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
		return fmt.Errorf("condition not met within %v: %s\n%s", timeout, what, strings.Join(tails, "\n"))
	}
	return nil
}

// memberStatus is the part of a member's status that scenarios use. The fields have the names of its JSON.
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

// status queries the status of a member.
func (f *fleet) status(member *fleetMember) (s memberStatus, err error) {
	err = f.queryMember(member, "status", &s)
	return s, err
}

// voterStatus returns the status of the first voter that reports the state of the fleet. ok is false if none does.
func (f *fleet) voterStatus() (s memberStatus, ok bool) {
	for _, voter := range f.members[:f.cfg.voters] {
		if s, err := f.status(voter); err == nil && s.Council != nil && s.Council.Fleet != nil {
			return s, true
		}
	}
	return memberStatus{}, false
}

// voters returns the identities of the voters, or nil if no voter reports them.
func (f *fleet) voters() []uint64 {
	if s, ok := f.voterStatus(); ok {
		return s.Council.Voters
	}
	return nil
}

// repairAndAwaitLease ends all faults and waits until a lease is held.
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

// repairAll ends all faults, starts the members that are not running and waits until all are ready.
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

// drainAll shuts all members down gracefully. An exit error is a violation.
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

// runOrder runs the command order avoid or order lift for a backend, against a member that reaches the consensus group.
func (f *fleet) runOrder(verb, server string, by *fleetMember) error {
	if err := f.mustCommandMember(by, "order", verb, "farm", server); err != nil {
		return err
	}
	f.logEvent("order: %s %s", verb, server)
	return nil
}
