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

// mostLogLine bounds a line of a log; a longer one ends the reading of that file.
const mostLogLine = 1 << 20

type fleetCmd struct {
	Logs  []string      `arg:"" help:"Logs of processes that tell their figures, or folders of them."`
	Every time.Duration `default:"1s" help:"Length of a row."`
	Pool  string        `help:"Count this pool only."`
	JSON  bool          `name:"json" help:"Print as JSON, one object a row."`
}

// fleetRow is what a fleet did in one spell.
type fleetRow struct {
	At        float64        `json:"at_s"` // since the first line of all
	Processes int            `json:"processes"`
	Counts    map[string]int `json:"counts"`
	UsualMs   float64        `json:"usual_ms"`
	Short     float64        `json:"short"`
	Listed    float64        `json:"listed_each"`
	Warming   float64        `json:"warming_each"`
	Avoided   float64        `json:"avoided_each"`
	Shared    *sharedRow     `json:"shared,omitempty"` // nil: no process shares state
}

// sharedRow is what the state that processes share came to in a spell: sums over all, and the oldest.
type sharedRow struct {
	Frames  int64 `json:"frames"`
	Bytes   int64 `json:"bytes"`
	InStep  int64 `json:"most_in_step_ms"` // ago, that of the process whose copies were seen equal to another's longest ago; -1: never
	Decided int64 `json:"most_decided_ms"` // the same of all that was decided
	Lost    int64 `json:"fewest_alive"`    // members that are alive, to the process that holds the fewest for it
	Dead    int64 `json:"most_dead"`       // words that a server is dead, at the process that holds most
	Differ  int64 `json:"differ"`          // contents of one version that differed, since the starts
}

// add counts a line of one process.
func (r *sharedRow) add(line string) {
	field := func(key string) int64 {
		n, err := strconv.ParseInt(e2e.Field(line, key), 10, 64)
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

// Run counts over all logs, by spell.
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

// count reads the logs, and returns a row for each spell in which a process told something.
func (c *fleetCmd) count(files []string) ([]fleetRow, error) {
	type seen struct {
		row       statslog.IntervalStats
		processes map[string]bool
		shared    *sharedRow
	}
	spells := map[int64]*seen{}
	var first time.Time
	type line struct {
		at   time.Time
		file string
		row  statslog.IntervalStats
		text string // of shared state
	}
	var lines []line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		text := bufio.NewScanner(f)
		text.Buffer(nil, mostLogLine)
		for text.Scan() {
			if e2e.Field(text.Text(), "msg") == fleet.SharedStateLogMessage {
				if at, err := time.Parse(time.RFC3339Nano, e2e.Field(text.Text(), "time")); err == nil {
					lines = append(lines, line{at: at, file: name, text: text.Text()})
					if first.IsZero() || at.Before(first) {
						first = at
					}
				}
				continue
			}
			at, pool, row, ok := statslog.Parse(text.Text())
			if !ok || c.Pool != "" && pool != c.Pool {
				continue
			}
			if first.IsZero() || at.Before(first) {
				first = at
			}
			lines = append(lines, line{at: at, file: name, row: row})
		}
		f.Close()
		if err := text.Err(); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	for _, l := range lines {
		n := int64(l.at.Sub(first) / c.Every)
		if spells[n] == nil {
			spells[n] = &seen{processes: map[string]bool{}}
		}
		spells[n].processes[l.file] = true
		if l.text != "" {
			if spells[n].shared == nil {
				spells[n].shared = &sharedRow{}
			}
			spells[n].shared.add(l.text)
			continue
		}
		spells[n].row.Merge(l.row)
	}
	var rows []fleetRow
	for _, n := range slices.Sorted(maps.Keys(spells)) {
		x := spells[n]
		each := float64(len(x.processes))
		r := fleetRow{
			At: (time.Duration(n) * c.Every).Seconds(), Processes: len(x.processes), Counts: map[string]int{},
			UsualMs: float64(x.row.TypicalDelay) / float64(time.Millisecond), Short: x.row.CapacityShortage,
			Shared: x.shared, Listed: float64(x.row.ReadyEndpoints) / each, Warming: float64(x.row.WarmingEndpoints) / each, Avoided: float64(x.row.EjectedEndpoints) / each,
		}
		for _, k := range statslog.Counters() {
			r.Counts[k.String()] = x.row.Counters[k]
		}
		rows = append(rows, r)
	}
	return rows, nil
}

// printFleet prints a table, with a last row for the whole time.
func printFleet(w io.Writer, rows []fleetRow) error {
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
	most := slices.MaxFunc(rows, func(a, b fleetRow) int { return cmp.Compare(a.Processes, b.Processes) })
	fmt.Fprintf(t, "all\t%d\t", most.Processes)
	for _, k := range statslog.Counters() {
		fmt.Fprintf(t, "%d\t", sum[k.String()])
	}
	fmt.Fprintln(t, "\t\t\t\t\t")
	if err := t.Flush(); err != nil || !slices.ContainsFunc(rows, func(r fleetRow) bool { return r.Shared != nil }) {
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
