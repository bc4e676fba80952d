package e2e

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// leaseSpan is a period in which a member held a lease according to its log.
type leaseSpan struct {
	holder   int // index of the member that held the lease
	token    uint64
	from, to time.Time // to is zero while the lease is held
}

// logTime returns the time attribute of a log line, or the zero time if the line has none.
func logTime(line string) time.Time {
	at, _ := time.Parse(time.RFC3339Nano, LogField(line, "time"))
	return at
}

// leaseSpans returns the periods in which a lease was held, sorted by their start.
func (f *fleet) leaseSpans(lease string) []leaseSpan {
	var all []leaseSpan
	for _, member := range f.members {
		programs := member.programs()
		for i, program := range programs {
			hasEnded := i < len(programs)-1
			all = append(all, leaseSpansOf(program, lease, member.index, hasEnded)...)
		}
	}
	slices.SortFunc(all, func(a, b leaseSpan) int { return a.from.Compare(b.from) })
	return all
}

// leaseSpansOf returns the periods in which one program held a lease. If the program ended as the holder, its last period ends at the time
// of its last log line.
func leaseSpansOf(program *Program, lease string, holder int, hasEnded bool) []leaseSpan {
	var spans []leaseSpan
	var last time.Time
	held := false
	for _, line := range program.LogLines() {
		if at := logTime(line); !at.IsZero() {
			last = at
		}
		if LogField(line, "name") != lease {
			continue
		}
		switch LogField(line, "msg") {
		case "lease held":
			token, _ := strconv.ParseUint(LogField(line, "token"), 10, 64)
			spans = append(spans, leaseSpan{holder: holder, token: token, from: logTime(line)})
			held = true
		case "lease lost":
			if held {
				spans[len(spans)-1].to = logTime(line)
				held = false
			}
		}
	}
	if held && hasEnded {
		spans[len(spans)-1].to = last
	}
	return spans
}

// leaseHolder returns the index of the member that holds a lease now according to the logs, or -1 if there is none. Of several members, it
// is the one with the newest token.
func (f *fleet) leaseHolder(lease string) int {
	holder, newest := -1, uint64(0)
	for _, span := range f.leaseSpans(lease) {
		if span.to.IsZero() && (holder < 0 || span.token > newest) {
			holder, newest = span.holder, span.token
		}
	}
	return holder
}

// logHolders logs each change of the holders of a lease until ctx ends. The channel is closed afterwards.
func (f *fleet) logHolders(ctx context.Context, lease string) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		last := ""
		for ctx.Err() == nil {
			if now := f.describeHolders(lease); now != last {
				last = now
				f.logEvent("%s is held by: %s", lease, now)
			}
			pause(ctx, 50*time.Millisecond)
		}
	}()
	return done
}

// describeHolders lists the members that hold a lease according to their logs.
func (f *fleet) describeHolders(lease string) string {
	var holders []string
	for _, span := range f.leaseSpans(lease) {
		if span.to.IsZero() {
			holders = append(holders, fmt.Sprintf("%s with token %d", f.members[span.holder].name, span.token))
		}
	}
	return strings.Join(holders, ", ")
}

// consensusLeader returns the index of the leader of the consensus group, by the newest term in the logs, or 0 if no leader is known.
func (f *fleet) consensusLeader() int {
	leader, newest := 0, 0
	for _, member := range f.members {
		for _, line := range member.currentProgram().LogLines() {
			if LogField(line, "msg") != "consensus leader elected" {
				continue
			}
			term, err := strconv.Atoi(LogField(line, "term"))
			if err != nil || term <= newest {
				continue
			}
			if i := f.indexOf(LogField(line, "leader")); i >= 0 {
				leader, newest = i, term
			}
		}
	}
	return leader
}

// indexOf returns the index of the named member, or -1 if there is none.
func (f *fleet) indexOf(name string) int {
	return slices.IndexFunc(f.members, func(member *fleetMember) bool { return member.name == name })
}
