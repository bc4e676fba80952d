//go:build review

package harness

import (
	"encoding/json"
	"fmt"
	"net"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// product is the command of the product, built by the build of the deploy file.
const product = "bin/sorrelrudder"

// Fleet is a fleet of three processes of the product, configured like the worked files deploy/tier-*.toml.
type Fleet struct {
	c       *Case
	Members []*Member
	Secret  string // file
}

// Member is one process of a fleet.
type Member struct {
	Name, Address, Clients string
	file                   string
	Program                *Program
}

// FreeAddress returns an address on which nobody listens now.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// StartFleet founds a fleet of p1, p2 and p3 and starts them. pools and tasks are added to each member's file. It returns once a leader is
// known to all and all three vote.
func (c *Case) StartFleet(pools, tasks string) (*Fleet, error) {
	f := &Fleet{c: c}
	var err error
	if f.Secret, err = c.Write("tier.secret", "a secret of this case only, 32 bytes"); err != nil {
		return nil, err
	}
	members := ""
	for _, name := range []string{"p1", "p2", "p3"} {
		m := &Member{Name: name}
		if m.Address, err = FreeAddress(); err != nil {
			return nil, err
		}
		if m.Clients, err = FreeAddress(); err != nil {
			return nil, err
		}
		members += fmt.Sprintf("[[tier.members]]\nname = %q\naddress = %q\n", m.Name, m.Address)
		f.Members = append(f.Members, m)
	}
	for _, m := range f.Members {
		text := fmt.Sprintf("[process]\nname = %q\n[[listeners]]\nname = \"farm\"\naddress = %q\n%s\n", m.Name, m.Clients, pools)
		text += fmt.Sprintf("[tier]\nname = %q\nsecret = %q\nstore = %q\ncouncil = [\"p1\", \"p2\", \"p3\"]\nterm = \"3s\"\n[tier.copies]\nwitnesses = 2\n%s\n%s",
			m.Name, f.Secret, filepath.Join(c.Dir, m.Name+".db"), members, tasks)
		if m.file, err = c.Write(m.Name+".toml", text); err != nil {
			return nil, err
		}
	}
	if out, err := f.Command("tier", "init", f.Members[0].file); err != nil {
		return nil, fmt.Errorf("tier init: %w: %s", err, out)
	}
	for _, m := range f.Members {
		if m.Program, err = c.Start(m.Name, "exec "+product+" run "+m.file, nil, nil); err != nil {
			return nil, err
		}
	}
	return f, f.awaitVoters(30 * time.Second)
}

// Command runs a command of the product and returns its output.
func (f *Fleet) Command(args ...string) (string, error) {
	cmd := exec.CommandContext(f.c.Context, filepath.Join(f.c.Root, product), args...)
	cmd.Dir = f.c.Dir
	out, err := cmd.CombinedOutput()
	return strings.TrimSpace(string(out)), err
}

// Ask runs a command at a member.
func (f *Fleet) Ask(m *Member, args ...string) (string, error) {
	return f.Command(append(args, m.Address, "--secret", f.Secret)...)
}

// awaitVoters waits until p1 lists three voters.
func (f *Fleet) awaitVoters(limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		out, err := f.Ask(f.Members[0], "tier", "members")
		if err == nil && strings.Count(out, "yes") == len(f.Members) {
			f.c.Log("the fleet has three voters")
			return nil
		}
		for _, m := range f.Members {
			if !m.Program.Running() {
				return fmt.Errorf("%s ended", m.Name)
			}
		}
	}
	return fmt.Errorf("the fleet has not got three voters within %v", limit)
}

// Leader returns the member that leads the council, or nil.
func (f *Fleet) Leader() *Member {
	for _, m := range f.Members {
		out, err := f.Ask(m, "tier", "status", "--json", "--timeout", "1s")
		if err != nil {
			continue
		}
		var status struct {
			Leader string `json:"leader"`
		}
		if json.Unmarshal([]byte(out), &status) != nil {
			continue
		}
		for _, l := range f.Members {
			if l.Name == status.Leader {
				return l
			}
		}
	}
	return nil
}
