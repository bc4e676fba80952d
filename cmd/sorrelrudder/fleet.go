package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"sorrelrudder/internal/e2e"
	"sorrelrudder/internal/fleet"
	"sorrelrudder/internal/statslog"
)

// maxLogLineBytes bounds a line of a log; a longer one ends the reading of that file.
const maxLogLineBytes = 1 << 20

// fleetCmd counts the statistics in the logs of many processes by intervals.
type fleetCmd struct {
	Logs  []string      `arg:"" help:"Logs of processes that tell their figures, or folders of them."`
	Every time.Duration `default:"1s" help:"Length of a row."`
	Pool  string        `help:"Count this pool only."`
	JSON  bool          `name:"json" help:"Print as JSON, one object a row."`
}

// fleetInterval is what a fleet did in one interval.
type fleetInterval struct {
	At        float64            `json:"at_s"` // since the first line
	Processes int                `json:"processes"`
	Counts    map[string]int     `json:"counts"`
	UsualMs   float64            `json:"usual_ms"`
	Short     float64            `json:"short"`
	Listed    float64            `json:"listed_each"`
	Warming   float64            `json:"warming_each"`
	Avoided   float64            `json:"avoided_each"`
	Shared    *sharedStateCounts `json:"shared,omitempty"` // nil: no process shares state
}

// sharedStateCounts are the statistics of shared state in an interval, over all processes.
type sharedStateCounts struct {
	Frames  int64 `json:"frames"`
	Bytes   int64 `json:"bytes"`
	InStep  int64 `json:"most_in_step_ms"` // age of the oldest copy of a process that was seen equal to another's; -1: never
	Decided int64 `json:"most_decided_ms"` // the same of the decisions known
	Lost    int64 `json:"fewest_alive"`    // live members as seen by the process that sees the fewest
	Dead    int64 `json:"most_dead"`       // reports of unreachable endpoints at the process that holds most
	Differ  int64 `json:"differ"`          // conflicting contents of one version, since the starts
}

// add adds a log line of one process.
func (r *sharedStateCounts) add(line string) {
	field := func(key string) int64 {
		n, err := strconv.ParseInt(e2e.LogField(line, key), 10, 64)
		if err != nil {
			return 0
		}
		return n
	}
	oldest := func(a, b int64) int64 {
		if a < 0 || b < 0 {
			return -1
		}
		return max(a, b)
	}
	r.Frames += field("frames")
	r.Bytes += field("bytes")
	r.InStep, r.Decided = oldest(r.InStep, field("in_step_ms")), oldest(r.Decided, field("decided_ms"))
	if n := field("alive"); r.Lost == 0 || n < r.Lost {
		r.Lost = n
	}
	r.Dead = max(r.Dead, field("dead"))
	r.Differ += field("differ")
}

// Run reads all logs and prints a row for each interval.
func (c *fleetCmd) Run(s *streams) error {
	if c.Every < time.Millisecond {
		return fmt.Errorf("--every %v: less than a millisecond", c.Every)
	}
	var files []string
	for _, path := range c.Logs {
		err := filepath.WalkDir(path, func(p string, d fs.DirEntry, err error) error {
			if err == nil && d.Type().IsRegular() {
				files = append(files, p)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	slices.Sort(files)
	rows, err := c.count(slices.Compact(files))
	if err != nil {
		return err
	}
	if len(rows) == 0 {
		return fmt.Errorf("no line of %d logs tells figures: is figures_every set?", len(files))
	}
	if c.JSON {
		out := json.NewEncoder(s.out)
		for _, r := range rows {
			if err := out.Encode(r); err != nil {
				return err
			}
		}
		return nil
	}
	return printFleet(s.out, rows)
}

// fleetLine is a line of statistics in a log: of a pool, or of shared state.
type fleetLine struct {
	at     time.Time
	file   string
	pool   statslog.IntervalStats
	shared string // the line's text; empty: it is of a pool
}

// count reads the logs and returns the intervals in which a process told something.
func (c *fleetCmd) count(files []string) ([]fleetInterval, error) {
	var lines []fleetLine
	for _, name := range files {
		of, err := c.readLog(name)
		if err != nil {
			return nil, err
		}
		lines = append(lines, of...)
	}
	if len(lines) == 0 {
		return nil, nil
	}
	first := slices.MinFunc(lines, func(x, y fleetLine) int { return x.at.Compare(y.at) }).at
	intervals := map[int64]*fleetSums{}
	for _, l := range lines {
		n := int64(l.at.Sub(first) / c.Every)
		if intervals[n] == nil {
			intervals[n] = &fleetSums{processes: map[string]bool{}}
		}
		intervals[n].add(l)
	}
	var rows []fleetInterval
	for _, n := range slices.Sorted(maps.Keys(intervals)) {
		rows = append(rows, intervals[n].row(time.Duration(n)*c.Every))
	}
	return rows, nil
}

// readLog returns the lines of statistics in a log.
func (c *fleetCmd) readLog(name string) ([]fleetLine, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var lines []fleetLine
	text := bufio.NewScanner(f)
	text.Buffer(nil, maxLogLineBytes)
	for text.Scan() {
		if l, ok := c.parseLine(text.Text()); ok {
			l.file = name
			lines = append(lines, l)
		}
	}
	if err := text.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return lines, nil
}

// parseLine reports whether a line has statistics that are to be counted.
func (c *fleetCmd) parseLine(text string) (fleetLine, bool) {
	if e2e.LogField(text, "msg") == fleet.SharedStateLogMessage {
		at, err := time.Parse(time.RFC3339Nano, e2e.LogField(text, "time"))
		return fleetLine{at: at, shared: text}, err == nil
	}
	at, pool, stats, ok := statslog.Parse(text)
	return fleetLine{at: at, pool: stats}, ok && (c.Pool == "" || pool == c.Pool)
}

// fleetSums adds up the lines of an interval.
type fleetSums struct {
	pools     statslog.IntervalStats
	shared    *sharedStateCounts // nil: no process shares state
	processes map[string]bool    // by log
}

func (f *fleetSums) add(l fleetLine) {
	f.processes[l.file] = true
	if l.shared == "" {
		f.pools.Merge(l.pool)
		return
	}
	if f.shared == nil {
		f.shared = &sharedStateCounts{}
	}
	f.shared.add(l.shared)
}

func (f *fleetSums) row(at time.Duration) fleetInterval {
	processes := float64(len(f.processes))
	row := fleetInterval{
		At:        at.Seconds(),
		Processes: len(f.processes),
		Counts:    map[string]int{},
		UsualMs:   float64(f.pools.TypicalDelay) / float64(time.Millisecond),
		Short:     f.pools.CapacityShortage,
		Listed:    float64(f.pools.ReadyEndpoints) / processes,
		Warming:   float64(f.pools.WarmingEndpoints) / processes,
		Avoided:   float64(f.pools.EjectedEndpoints) / processes,
		Shared:    f.shared,
	}
	for _, counter := range statslog.Counters() {
		row.Counts[counter.String()] = f.pools.Counters[counter]
	}
	return row
}

// printFleet prints a table, with a last row for the whole time.
func printFleet(w io.Writer, rows []fleetInterval) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "s\tprocs\t")
	for _, k := range statslog.Counters() {
		fmt.Fprintf(t, "%s\t", k)
	}
	fmt.Fprintln(t, "usual\tshort\tlisted\twarming\tavoided\t")
	sum := map[string]int{}
	for _, r := range rows {
		fmt.Fprintf(t, "%g\t%d\t", r.At, r.Processes)
		for _, k := range statslog.Counters() {
			fmt.Fprintf(t, "%d\t", r.Counts[k.String()])
			sum[k.String()] += r.Counts[k.String()]
		}
		fmt.Fprintf(t, "%.0fms\t%.2f\t%.1f\t%.1f\t%.1f\t\n", r.UsualMs, r.Short, r.Listed, r.Warming, r.Avoided)
	}
	most := slices.MaxFunc(rows, func(a, b fleetInterval) int { return cmp.Compare(a.Processes, b.Processes) })
	fmt.Fprintf(t, "all\t%d\t", most.Processes)
	for _, k := range statslog.Counters() {
		fmt.Fprintf(t, "%d\t", sum[k.String()])
	}
	fmt.Fprintln(t, "\t\t\t\t\t")
	if err := t.Flush(); err != nil || !slices.ContainsFunc(rows, func(r fleetInterval) bool { return r.Shared != nil }) {
		return err
	}
	fmt.Fprintln(w, "\nshared state; the last four are of the process that is worst off")
	fmt.Fprintln(t, "s\tframes\tbytes\tdiffer\tin step ms ago\tdecided ms ago\talive\tdead words\t")
	for _, r := range rows {
		if x := r.Shared; x != nil {
			fmt.Fprintf(t, "%g\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", r.At, x.Frames, x.Bytes, x.Differ, x.InStep, x.Decided, x.Lost, x.Dead)
		}
	}
	return t.Flush()
}
