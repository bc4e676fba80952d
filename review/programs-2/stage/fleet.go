//go:build review

package stage

import (
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"time"
)

// Program is the program that an operator runs.
const Program = "bin/sorrelrudder"

// Fleet is a fleet of three processes, as in deploy/tier-p1.toml to tier-p3.toml.
type Fleet struct {
	stage     *Stage
	Names     []string
	prefix    string   // of the names of files
	Addresses []string // of the members
	Listen    []string // for clients
	Procs     []*Proc
	Files     []string
	Secret    string
	config    func(i int) string
}

// FleetConfig is what differs between fleets.
type FleetConfig struct {
	Servers []string // addresses of the pool's servers
	Classes string   // [[pools.farm.classes]] tables
	Tier    string   // further keys of [tier]
	Tasks   string   // [[tasks]] tables
}

// NewFleet writes the files of a fleet and founds it with 'tier init'.
func (s *Stage) NewFleet(c FleetConfig) *Fleet {
	s.fleets++
	f := &Fleet{stage: s, Names: []string{"p1", "p2", "p3"}, Procs: make([]*Proc, 3), prefix: fmt.Sprintf("fleet%d-", s.fleets)}
	ports := s.Ports(6)
	f.Addresses, f.Listen = ports[:3], ports[3:]
	f.Secret = s.Write(f.prefix+"tier.secret", "a secret of the fleet under review\n")
	for i := range f.Names {
		f.Files = append(f.Files, s.Path(f.prefix+f.Names[i]+".toml"))
	}
	f.Configure(c)
	if text, ok := s.Run(Program, "tier", "init", f.Files[0]); !ok {
		s.NotRun("tier init: %s", text)
	}
	return f
}

// Configure writes the files of all members.
func (f *Fleet) Configure(c FleetConfig) {
	for i, name := range f.Names {
		f.stage.Write(f.prefix+name+".toml", f.text(i, c))
	}
}

func (f *Fleet) text(i int, c FleetConfig) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[process]\nname = %q\n\n[[listeners]]\nname = \"farm\"\naddress = %q\n\n", f.Names[i], f.Listen[i])
	for n, address := range c.Servers {
		fmt.Fprintf(&b, "[[pools.farm.servers]]\nname = \"box-%d\"\naddress = %q\n", n+1, address)
	}
	fmt.Fprintf(&b, "%s\n[tier]\nname = %q\nsecret = %q\nstore = %q\ncouncil = [\"p1\", \"p2\", \"p3\"]\n%s\n",
		c.Classes, f.Names[i], f.Secret, f.stage.Path(f.prefix+f.Names[i]+".db"), c.Tier)
	for n, name := range f.Names {
		fmt.Fprintf(&b, "[[tier.members]]\nname = %q\naddress = %q\n", name, f.Addresses[n])
	}
	b.WriteString(c.Tasks)
	return b.String()
}

// StartMember starts a member.
func (f *Fleet) StartMember(i int) {
	f.Procs[i] = f.stage.Start(f.prefix+f.Names[i], Program, "run", f.Files[i])
}

// Start starts all members and waits until the consensus group has three voters and a leader.
func (f *Fleet) Start() {
	for i := range f.Names {
		f.StartMember(i)
	}
	f.AwaitHealthy()
}

// AwaitHealthy waits until each member names the same leader and all three vote.
func (f *Fleet) AwaitHealthy() {
	f.stage.WaitFor("three voters and a leader", 25*time.Second, func() bool {
		leader := f.Leader()
		if leader < 0 {
			time.Sleep(200 * time.Millisecond)
			return false
		}
		text, ok := f.tier("members", leader)
		if ok && strings.Count(text, "  yes") >= 3 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
		return false
	})
	f.stage.Log("the fleet is up, leader %s", f.Names[f.Leader()])
}

func (f *Fleet) tier(command string, i int, flags ...string) (string, bool) {
	return f.stage.Run(append([]string{Program, "tier", command, f.Addresses[i], "--secret", f.Secret, "--timeout", "1s"}, flags...)...)
}

// Status returns what 'tier status --json' tells of a member.
func (f *Fleet) Status(i int) map[string]any {
	text, ok := f.tier("status", i, "--json")
	var status map[string]any
	if !ok || json.Unmarshal([]byte(text), &status) != nil {
		return nil
	}
	return status
}

// Leader returns the member that all members name as the leader, -1 if they don't agree.
func (f *Fleet) Leader() int {
	found := -1
	for i := range f.Names {
		text, ok := f.tier("status", i)
		if !ok {
			return -1
		}
		named := -1
		for n, name := range f.Names {
			if leaderLine(text) == name {
				named = n
			}
		}
		if named < 0 || found >= 0 && found != named {
			return -1
		}
		found = named
	}
	return found
}

// leaderLine returns the word after "leader" in the text of 'tier status'.
func leaderLine(text string) string {
	for line := range strings.Lines(text) {
		fields := strings.Fields(line)
		for i, word := range fields {
			if strings.Trim(word, ":,") == "leader" && i+1 < len(fields) {
				return strings.Trim(fields[i+1], ",;()\"")
			}
		}
	}
	return ""
}

// Leases returns the text of 'tier leases' at a member of the council.
func (f *Fleet) Leases(i int) string {
	text, _ := f.tier("leases", i)
	return text
}

// Holder returns the member that holds a lease, -1 if none does.
func (f *Fleet) Holder(lease string) int {
	for i := range f.Names {
		text, ok := f.tier("leases", i)
		if !ok {
			continue
		}
		for line := range strings.Lines(text) {
			fields := strings.Fields(line)
			if len(fields) >= 3 && fields[0] == lease {
				for n, name := range f.Names {
					if fields[1] == name {
						return n
					}
				}
			}
		}
	}
	return -1
}

// Hold starts 'tier lease hold' at a member.
func (f *Fleet) Hold(proc, lease string, at int, flags ...string) *Proc {
	args := append([]string{Program, "tier", "lease", "hold", lease, f.Addresses[at], "--secret", f.Secret}, flags...)
	return f.stage.Start(proc, args...)
}

// Stop stops a member (SIGSTOP).
func (f *Fleet) Stop(i int) { f.Procs[i].Signal(syscall.SIGSTOP) }

// Continue continues a stopped member (SIGCONT).
func (f *Fleet) Continue(i int) { f.Procs[i].Signal(syscall.SIGCONT) }
