package zonefailover

import (
	"slices"
	"time"
)

// Tally counts what became of a member's attempts at a zone's servers, since the member's start.
type Tally struct {
	Answered, Failed int64 // an error or none in time is a failure; a refusal is none
	Delay            time.Duration
}

// GreyRules are the figures by which a member finds that a zone fails in part.
type GreyRules struct {
	Window time.Duration // that is looked at
	Least  int64         // attempts within it, at the zone and at others, without which nothing is said
	Failed float64       // share of them from which on a zone is grey, where the others fail a quarter as often
	Slow   float64       // times its usual delay from which on it is, where the others are half as slow by theirs
}

// UsualGrey are figures for members with some requests a second. One in eight that fail are found, a twentieth is not.
func UsualGrey() GreyRules {
	return GreyRules{Window: 4 * time.Second, Least: 12, Failed: 0.08, Slow: 3}
}

const (
	// turnsKept bounds the looks that a window is made of.
	turnsKept = 64
	// usualShare is by how much a look changes what counts as usual, of the delay within the window: some minutes of looks each half second.
	usualShare = 0.01
)

// Grey is a member's own judgement on the zones of one pool. A zone that is far is slow by nature: what counts is its own usual delay.
type Grey struct {
	rules GreyRules
	turns []turn
	usual map[string]time.Duration // delay
	grey  map[string]bool
}

type turn struct {
	at    time.Duration
	zones map[string]Tally
}

// NewGrey returns one that has seen nothing.
func NewGrey(r GreyRules) *Grey {
	return &Grey{rules: r, usual: map[string]time.Duration{}, grey: map[string]bool{}}
}

// Turn takes the tallies as they stand, and returns the zones that are grey to this member, in order.
func (g *Grey) Turn(now time.Duration, zones map[string]Tally) []string {
	g.turns = append(g.turns, turn{now, zones})
	for len(g.turns) > 2 && (g.turns[1].at <= now-g.rules.Window || len(g.turns) > turnsKept) {
		g.turns = g.turns[1:]
	}
	from := g.turns[0].zones
	type figures struct {
		n            int64
		failed, slow float64
	}
	seen := map[string]figures{}
	for zone, t := range zones {
		was := from[zone]
		answered, failed := t.Answered-was.Answered, t.Failed-was.Failed
		if n := answered + failed; n >= g.rules.Least && zone != "" {
			f := figures{n: n, failed: float64(failed) / float64(n), slow: 1}
			if answered > 0 {
				mean := (t.Delay - was.Delay) / time.Duration(answered)
				if g.usual[zone] == 0 {
					g.usual[zone] = mean
				}
				f.slow = float64(mean) / float64(max(g.usual[zone], 1))
				if f.slow < g.rules.Slow { // what is far from usual is not to become it
					g.usual[zone] += time.Duration(usualShare * float64(mean-g.usual[zone]))
				}
			}
			seen[zone] = f
		}
	}
	var all []string
	next := map[string]bool{}
	for zone, f := range seen {
		others, slowest, most := 0, 1.0, 0.0
		for other, o := range seen {
			if other != zone {
				others++
				slowest, most = max(slowest, o.slow), max(most, o.failed)
			}
		}
		// One that is grey already is so until it is well by half.
		ease := 1.0
		if g.grey[zone] {
			ease = 0.5
		}
		if others > 0 && (f.failed >= ease*g.rules.Failed && f.failed >= 4*most || f.slow >= ease*g.rules.Slow && f.slow >= 2*slowest) {
			next[zone] = true
			all = append(all, zone)
		}
	}
	g.grey = next
	slices.Sort(all)
	return all
}
