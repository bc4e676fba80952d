package simulation

import (
	"bytes"
	"encoding/json"
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/task"
	"sorrelrudder/internal/zonefailover"
	"sorrelrudder/internal/zoneview"
)

// observer says what must not be. Of the processes it only sees what they would act on; the rest it counts for itself.
type observer struct {
	w      *world
	tokens map[string]uint64         // the largest that the resource has accepted
	owner  map[uint64]string         // who has acted with a token
	ran    map[int64][]time.Duration // when a slot's request was done, as the servers tell after dropping repeats
	keys   map[string]time.Duration  // when servers first saw a key
	sentAt time.Duration             // the newest request of a slot
	lastAt time.Duration
	names  []leaseName       // that are watched
	zones  *zonesWatch       // nil: none are played
	avoids map[string]string // what was left out first by some decisions
	clocks []time.Duration   // of the processes, at the event that is looked at
}

func newObserver(w *world) *observer {
	o := &observer{
		w: w, tokens: map[string]uint64{}, owner: map[uint64]string{}, ran: map[int64][]time.Duration{}, keys: map[string]time.Duration{},
		names: append(append([]leaseName{}, w.names...), leaseName{"task/t", 1}),
	}
	if w.field != nil {
		o.names = append(o.names, leaseName{zoneview.LeaseName, 1})
		o.zones, o.avoids = &zonesWatch{values: map[uint64]string{}}, map[string]string{}
		for zone := range zones {
			o.zones.states[zone].Step = zonefailover.FullStep
		}
	}
	return o
}

// look is called after each event: no name may be held by more than its limit, by the clocks and knowledge of the processes themselves.
// A process that stands still is taken for one that acts the moment it goes on.
func (o *observer) look() {
	w := o.w
	clocks := o.clocks[:0]
	for _, p := range w.procs {
		clocks = append(clocks, p.clock())
	}
	o.clocks = clocks
	for _, n := range o.names {
		holders := 0
		for i, p := range w.procs {
			if !p.up || clocks[i] >= p.keeper.ValidUntil() {
				continue
			}
			token, _, ok := p.keeper.Token(clocks[i], n.name)
			if !ok {
				continue
			}
			holders++
			if was := o.owner[token]; was == "" {
				o.owner[token] = p.incarnation()
				w.note("%s holds %s by %d", p.name, n.name, token)
			} else if was != p.incarnation() {
				w.breaks("token %d is held by %s and was held by %s", token, p.incarnation(), was)
			}
		}
		if holders > n.limit {
			w.breaks("two holders: %d hold %q, of which %d may", holders, n.name, n.limit)
		}
		if holders == 0 && w.now > o.lastAt {
			w.counts["unheld_s"] += (w.now - o.lastAt).Seconds() / 3
		}
	}
	o.lastAt = w.now
}

// incarnation is the process and which start of it.
func (p *proc) incarnation() string { return p.nonce }

// act is an act at the resource, which accepts no older token after a newer. With several holders it only counts.
func (o *observer) act(n leaseName, p *proc, token uint64, late bool) {
	w := o.w
	w.counts["acts"]++
	if n.limit > 1 {
		return
	}
	last := o.tokens[n.name]
	if token < last {
		if w.o.Bug == BugNoFencing {
			w.breaks("an act with token %d was accepted after one with %d", token, last)
		}
		w.counts["acts_refused_by_token"]++
		if !late {
			w.breaks("%s acted on %q with token %d while it held it, after an act with %d", p.name, n.name, token, last)
		}
		return
	}
	o.tokens[n.name] = token
}

func (o *observer) sent() {
	o.sentAt = o.w.now
	o.w.counts["slots_sent"]++
}

// did is told when a server has a slot's request: it drops repeats of a key for as long as the window says.
func (o *observer) did(s task.SlotRequest) {
	w := o.w
	if w.spec.Idempotency == task.IdempotentByKey {
		if at, had := o.keys[s.Key]; had && w.now < at+w.spec.DedupWindow {
			return
		}
		o.keys[s.Key] = w.now
	}
	w.note("slot %d is done", s.Slot)
	o.ran[s.Slot] = append(o.ran[s.Slot], w.now)
	w.counts["slots_done"]++
	if n := len(o.ran[s.Slot]); n > 1 && w.spec.Idempotency != task.Idempotent {
		w.breaks("slot %d was done %d times", s.Slot, n)
	}
}

// end is told when the run is over: all was well for long enough.
func (o *observer) end() {
	w := o.w
	var first []byte
	var most uint64
	for _, p := range w.procs {
		if p.node == nil {
			continue
		}
		if s := p.node.Status(); s.Applied >= most {
			most = s.Applied
		}
	}
	book := task.Record{}
	var decided *consensus.StateMachine
	for _, p := range w.procs {
		if p.node == nil || p.node.Status().Applied != most {
			continue
		}
		f := p.node.StateMachine()
		data, err := json.Marshal(f)
		if err != nil {
			w.breaks("%v", err)
		}
		if first != nil && !bytes.Equal(first, data) {
			w.breaks("two copies of the state differ at %d", most)
		}
		first, decided = data, f
		if page := f.Tasks.Tasks[w.spec.Name]; page != nil {
			book = *page
		}
	}
	if w.o.SharedState {
		o.equalCopies(decided)
		o.endZones()
	}
	for _, n := range o.names {
		holders := 0
		for _, p := range w.procs {
			if _, _, ok := p.keeper.Token(p.clock(), n.name); ok {
				holders++
			}
		}
		if holders != n.limit {
			w.breaks("%d hold %q at the end, where %d may and more want", holders, n.name, n.limit)
		}
	}
	if idle := w.now - o.sentAt; idle > 3*time.Second {
		w.breaks("no slot was sent in the last %v, and one is due every %v", idle, w.spec.Interval)
	}
	done := int64(len(o.ran))
	if n := book.OutcomeCounts[task.OutcomeDone]; n > done {
		w.breaks("%d slots are written down as done, and %d were", n, done)
	}
	for outcome, n := range book.OutcomeCounts {
		w.counts["slots_"+string(outcome)+"_told"] += float64(n)
	}
}
