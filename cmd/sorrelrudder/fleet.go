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
	"text/tabwriter"
	"time"

	"sorrelrudder/internal/tally"
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
		row       tally.Row
		processes map[string]bool
	}
	spells := map[int64]*seen{}
	var first time.Time
	type line struct {
		at   time.Time
		file string
		row  tally.Row
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
			at, pool, row, ok := tally.Parse(text.Text())
			if !ok || c.Pool != "" && pool != c.Pool {
				continue
			}
			if first.IsZero() || at.Before(first) {
				first = at
			}
			lines = append(lines, line{at, name, row})
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
		spells[n].row.Merge(l.row)
		spells[n].processes[l.file] = true
	}
	var rows []fleetRow
	for _, n := range slices.Sorted(maps.Keys(spells)) {
		x := spells[n]
		each := float64(len(x.processes))
		r := fleetRow{
			At: (time.Duration(n) * c.Every).Seconds(), Processes: len(x.processes), Counts: map[string]int{},
			UsualMs: float64(x.row.Usual) / float64(time.Millisecond), Short: x.row.Short,
			Listed: float64(x.row.Listed) / each, Warming: float64(x.row.Warming) / each, Avoided: float64(x.row.Avoided) / each,
		}
		for _, k := range tally.Counts() {
			r.Counts[k.String()] = x.row.N[k]
		}
		rows = append(rows, r)
	}
	return rows, nil
}

// printFleet prints a table, with a last row for the whole time.
func printFleet(w io.Writer, rows []fleetRow) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "s\tprocs\t")
	for _, k := range tally.Counts() {
		fmt.Fprintf(t, "%s\t", k)
	}
	fmt.Fprintln(t, "usual\tshort\tlisted\twarming\tavoided\t")
	sum := map[string]int{}
	for _, r := range rows {
		fmt.Fprintf(t, "%g\t%d\t", r.At, r.Processes)
		for _, k := range tally.Counts() {
			fmt.Fprintf(t, "%d\t", r.Counts[k.String()])
			sum[k.String()] += r.Counts[k.String()]
		}
		fmt.Fprintf(t, "%.0fms\t%.2f\t%.1f\t%.1f\t%.1f\t\n", r.UsualMs, r.Short, r.Listed, r.Warming, r.Avoided)
	}
	most := slices.MaxFunc(rows, func(a, b fleetRow) int { return cmp.Compare(a.Processes, b.Processes) })
	fmt.Fprintf(t, "all\t%d\t", most.Processes)
	for _, k := range tally.Counts() {
		fmt.Fprintf(t, "%d\t", sum[k.String()])
	}
	fmt.Fprintln(t, "\t\t\t\t\t")
	return t.Flush()
}
