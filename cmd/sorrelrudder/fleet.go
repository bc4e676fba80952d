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

// maxLogLineBytes bounds a line of a log or of a worker's output. A longer line ends the reading.
const maxLogLineBytes = 1 << 20

// fleetCmd adds up the statistics in the logs of many processes by interval.
type fleetCmd struct {
	Logs  []string      `arg:"" help:"Read these logs of processes, or all files in these directories and below."`
	Every time.Duration `default:"1s" help:"Set the length of the interval that each row covers; at least 1ms."`
	Pool  string        `help:"Count the statistics of this pool only; the default is all pools."`
	JSON  bool          `name:"json" help:"Print one JSON object per interval instead of a table."`
}

// fleetInterval is the statistics of a fleet in one interval.
type fleetInterval struct {
	StartSeconds   float64            `json:"at_s"` // start of the interval, in seconds from the first line of statistics
	Processes      int                `json:"processes"`
	Counts         map[string]int     `json:"counts"`
	TypicalDelayMs float64            `json:"usual_ms"`
	Shortage       float64            `json:"short"`
	ReadyEach      float64            `json:"listed_each"`
	WarmingEach    float64            `json:"warming_each"`
	EjectedEach    float64            `json:"avoided_each"`
	Shared         *sharedStateCounts `json:"shared,omitempty"` // nil: no process shares state
}

// sharedStateCounts are the statistics of shared state in an interval, over all processes.
type sharedStateCounts struct {
	Frames                int64 `json:"frames"`
	Bytes                 int64 `json:"bytes"`
	MaxInSyncAgeMs        int64 `json:"most_in_step_ms"` // largest time, over all processes, since the replica was seen equal to another member's; -1: never at one of them
	MaxDecisionsAgeMs     int64 `json:"most_decided_ms"` // largest age, over all processes, of the moment up to which all decisions are known; -1: unknown at one of them
	MinAlive              int64 `json:"fewest_alive"`    // live members at the process that sees the fewest
	MaxUnreachableReports int64 `json:"most_dead"`       // reports of unreachable endpoints at the process that has the most
	Conflicts             int64 `json:"differ"`          // conflicting values of one version, since the processes started
}

// add adds the statistics of a log line of one process. A field that is missing counts as 0.
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
	r.MaxInSyncAgeMs, r.MaxDecisionsAgeMs = oldest(r.MaxInSyncAgeMs, field("in_step_ms")), oldest(r.MaxDecisionsAgeMs, field("decided_ms"))
	if n := field("alive"); r.MinAlive == 0 || n < r.MinAlive {
		r.MinAlive = n
	}
	r.MaxUnreachableReports = max(r.MaxUnreachableReports, field("dead"))
	r.Conflicts += field("differ")
}

// Run reads all logs and prints a row for each interval that has statistics.
func (c *fleetCmd) Run(s *streams) error {
	if c.Every < time.Millisecond {
		return fmt.Errorf("--every %v: expected at least 1ms", c.Every)
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
		return fmt.Errorf("no statistics in %d log files: set figures_every or GW_FIGURES_EVERY at the processes", len(files))
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

// fleetLine is a line of statistics in a log, either of a pool or of shared state.
type fleetLine struct {
	at     time.Time
	file   string
	pool   statslog.IntervalStats
	shared string // text of a line of shared state; empty: the line is of a pool
}

// count reads the logs and returns the intervals that have statistics.
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
		return nil, fmt.Errorf("read log %s (lines of at most 1 MiB): %w", name, err)
	}
	return lines, nil
}

// parseLine returns the statistics of a line, and false if it has none or is of a pool that is not counted.
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
	processes map[string]bool    // by name of the log
}

// add adds a line.
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

// row returns the sums as the interval that starts at the given time.
func (f *fleetSums) row(at time.Duration) fleetInterval {
	processes := float64(len(f.processes))
	row := fleetInterval{
		StartSeconds:   at.Seconds(),
		Processes:      len(f.processes),
		Counts:         map[string]int{},
		TypicalDelayMs: float64(f.pools.TypicalDelay) / float64(time.Millisecond),
		Shortage:       f.pools.CapacityShortage,
		ReadyEach:      float64(f.pools.ReadyEndpoints) / processes,
		WarmingEach:    float64(f.pools.WarmingEndpoints) / processes,
		EjectedEach:    float64(f.pools.EjectedEndpoints) / processes,
		Shared:         f.shared,
	}
	for _, counter := range statslog.Counters() {
		row.Counts[counter.String()] = f.pools.Counters[counter]
	}
	return row
}

// printFleet prints the intervals as a table whose last row is the sum over all, and a second table of shared state if there is any.
func printFleet(w io.Writer, rows []fleetInterval) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "s\tprocs\t")
	for _, k := range statslog.Counters() {
		fmt.Fprintf(t, "%s\t", k)
	}
	fmt.Fprintln(t, "usual\tshort\tlisted\twarming\tavoided\t")
	sum := map[string]int{}
	for _, r := range rows {
		fmt.Fprintf(t, "%g\t%d\t", r.StartSeconds, r.Processes)
		for _, k := range statslog.Counters() {
			fmt.Fprintf(t, "%d\t", r.Counts[k.String()])
			sum[k.String()] += r.Counts[k.String()]
		}
		fmt.Fprintf(t, "%.0fms\t%.2f\t%.1f\t%.1f\t%.1f\t\n", r.TypicalDelayMs, r.Shortage, r.ReadyEach, r.WarmingEach, r.EjectedEach)
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
	fmt.Fprintln(w, "\nshared state; the last four columns show the worst value of all processes")
	fmt.Fprintln(t, "s\tframes\tbytes\tconflicts\tin sync ms ago\tdecisions as of ms ago\talive members\tunreachable reports\t")
	for _, r := range rows {
		if x := r.Shared; x != nil {
			fmt.Fprintf(t, "%g\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", r.StartSeconds, x.Frames, x.Bytes, x.Conflicts, x.MaxInSyncAgeMs, x.MaxDecisionsAgeMs, x.MinAlive, x.MaxUnreachableReports)
		}
	}
	return t.Flush()
}
