// Package fake imitates what stands around the program: boxes that do work, the platform's discovery, a link between two
// places, and clients with deadlines and retries. All of it is on loopback sockets and in real time. A ledger counts what
// clients asked, what they were answered and what the boxes did, and tells afterwards whether one of the four rules was
// broken. The package shares no code with the program that it watches, so that one mistake cannot hide another.
package fake

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Effect says what repeating a request of a class may do.
type Effect int

// The effects.
const (
	Safe Effect = iota
	Keyed
	Unsafe
)

func (e Effect) String() string { return [...]string{"safe", "keyed", "unsafe"}[e] }

// Slack is what the rules allow for the machine on which program, clients and boxes run together.
type Slack struct {
	Answer time.Duration // an answer may come so much after its time
	After  time.Duration // an attempt may arrive so much after the answer
	Grace  time.Duration // one to a box that is told to be leaving or gone, after the grace of 2 s
}

// UsualSlack suits a machine of some cores on which little else runs.
var UsualSlack = Slack{Answer: 150 * time.Millisecond, After: 100 * time.Millisecond, Grace: 150 * time.Millisecond}

// DrainGrace is how long after it is told a box may be sent new work.
const DrainGrace = 2 * time.Second

// Ledger counts requests, answers and effects. Its methods may be called from many goroutines at once.
type Ledger struct {
	mu    sync.Mutex
	tries map[string]*try
	boxes map[string]*boxRecord
	stray []string // what fits no try
	ops   int
}

// try is one request of a client, named by its X-Request-ID. A client's retry is another try of the same operation.
type try struct {
	op       *Operation
	sent     time.Time
	timeout  time.Duration
	answered time.Time // zero: not
	status   int
	left     bool // the client went away
	arrivals []arrival
	effects  int
}

// Operation is what a client wants done once.
type Operation struct {
	effect  Effect
	effects int
	ids     []string
}

type arrival struct {
	box string
	at  time.Time
}

// boxRecord is what is known of a box.
type boxRecord struct {
	told   time.Time // when the program was told that it leaves or is gone; zero: not
	born   time.Time // zero: warm
	budget func(age, window time.Duration) float64
	window time.Duration
	starts []time.Time // of work that reached it while it was cold
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{tries: map[string]*try{}, boxes: map[string]*boxRecord{}} }

// Op begins an operation of a client.
func (l *Ledger) Op(e Effect) *Operation {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ops++
	return &Operation{effect: e}
}

// Ops is how many operations were begun.
func (l *Ledger) Ops() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ops
}

// Sent notes a try of o whose last byte is about to be written. It panics if the id was used before.
func (l *Ledger) Sent(o *Operation, id string, timeout time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tries[id] != nil {
		panic("standin: a request's id is used twice: " + id)
	}
	l.tries[id] = &try{op: o, sent: time.Now(), timeout: timeout}
	o.ids = append(o.ids, id)
}

// Unsent takes a try back that the program cannot have read.
func (l *Ledger) Unsent(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.tries[id]; t != nil && len(t.arrivals) == 0 {
		delete(l.tries, id)
	}
}

// Answered notes the answer to a try; made is whether its body is what a box made for it, where it was served.
func (l *Ledger) Answered(id string, status int, made bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tries[id]
	switch {
	case t == nil:
		l.stray = append(l.stray, "an answer to "+id+", which was never sent")
	case !t.answered.IsZero():
		l.stray = append(l.stray, "a second answer to "+id)
	case status == 200 && !made:
		l.stray = append(l.stray, id+" was served with what no box made for it")
	default:
		t.answered, t.status = time.Now(), status
	}
}

// Left notes that the client of a try has gone away.
func (l *Ledger) Left(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.tries[id]; t != nil {
		t.left = true
	}
}

// Stray notes bytes that came to a client unasked.
func (l *Ledger) Stray(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stray = append(l.stray, what)
}

// Arrived notes that a request came whole to a box.
func (l *Ledger) Arrived(box, id string) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tries[id]
	if t == nil {
		l.stray = append(l.stray, fmt.Sprintf("box %s got a request %q that no client sent", box, id))
		return
	}
	t.arrivals = append(t.arrivals, arrival{box, now})
	if b := l.boxes[box]; b != nil && !b.born.IsZero() {
		b.starts = append(b.starts, now)
	}
}

// Effect notes that a request had its effect.
func (l *Ledger) Effect(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.tries[id]; t != nil {
		t.effects++
		t.op.effects++
	}
}

// Told notes that the program was told of a box that it leaves, is gone, or is back.
func (l *Ledger) Told(box string, leaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.box(box)
	switch {
	case !leaving:
		b.told = time.Time{}
	case b.told.IsZero():
		b.told = time.Now()
	}
}

// Born notes that a box starts cold: in any window of its warm-up it may be sent as many requests as budget says.
func (l *Ledger) Born(box string, window time.Duration, budget func(age, window time.Duration) float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.box(box)
	b.born, b.window, b.budget, b.starts = time.Now(), window, budget, nil
}

func (l *Ledger) box(name string) *boxRecord {
	b := l.boxes[name]
	if b == nil {
		b = &boxRecord{}
		l.boxes[name] = b
	}
	return b
}

// Verdict is what a ledger says of a run.
type Verdict struct {
	Broken   []string // the rules that were broken, each with its first case
	Ops      int
	Tries    int
	Arrivals int // of tries at boxes
	Answered int
	Effects  int
	Doubled  int           // operations with more effects than one, of those that may have only one
	Latest   time.Duration // how far an answer came after its time, at the most
}

// Check tells whether the rules were kept. It is called once all is over.
func (l *Ledger) Check(slack Slack) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := Verdict{Tries: len(l.tries), Ops: l.ops}
	first, count := map[string]string{}, map[string]int{}
	var order []string
	broken := func(rule, format string, args ...any) {
		if count[rule]++; count[rule] == 1 {
			order = append(order, rule)
			first[rule] = fmt.Sprintf(format, args...)
		}
	}
	for _, s := range l.stray {
		broken("1 one answer", "%s", s)
	}
	seen := map[*Operation]bool{}
	for id, t := range l.tries {
		late := t.answered.Sub(t.sent) - t.timeout
		switch {
		case t.left:
		case t.answered.IsZero():
			broken("1 one answer", "%s was never answered", id)
		case late > slack.Answer:
			broken("1 one answer", "%s was answered %v after its time", id, late.Round(time.Millisecond))
		}
		if !t.answered.IsZero() {
			v.Answered++
			v.Latest = max(v.Latest, late)
		}
		refused := t.status == 429 || t.status == 503
		if refused && t.effects > 0 && t.op.effect == Unsafe {
			broken("2 no effect twice", "%s is unsafe, had run, and was refused", id)
		}
		for _, a := range t.arrivals {
			if !t.answered.IsZero() && a.at.Sub(t.answered) > slack.After {
				broken("1 one answer", "%s came to box %s %v after its answer", id, a.box, a.at.Sub(t.answered).Round(time.Millisecond))
			}
		}
		v.Effects += t.effects
		v.Arrivals += len(t.arrivals)
		if o := t.op; !seen[o] {
			seen[o] = true
			if o.effect != Safe && o.effects > 1 {
				v.Doubled++
				broken("2 no effect twice", "%d effects of one %v operation, tried as %v", o.effects, o.effect, o.ids)
			}
		}
	}
	for name, b := range l.boxes {
		l.checkGrace(name, b, slack, broken)
		checkCold(name, b, broken)
	}
	for _, rule := range order {
		v.Broken = append(v.Broken, fmt.Sprintf("rule %s, %d times; first: %s", rule, count[rule], first[rule]))
	}
	return v
}

// Arrivals is how often a try has come to a box.
func (l *Ledger) Arrivals(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.tries[id]; t != nil {
		return len(t.arrivals)
	}
	return 0
}

// IsAnswered reports whether a try has its answer.
func (l *Ledger) IsAnswered(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tries[id]
	return t != nil && !t.answered.IsZero()
}

// ArrivedFrom counts the arrivals at boxes of these names of tries whose id contains text, such as the name of a crowd.
func (l *Ledger) ArrivedFrom(boxes map[string]bool, text string) int {
	n := 0
	l.arrivalsFrom(boxes, text, func(time.Time) { n++ })
	return n
}

// LastArrivalFrom is when the last of them came; zero if none did.
func (l *Ledger) LastArrivalFrom(boxes map[string]bool, text string) (last time.Time) {
	l.arrivalsFrom(boxes, text, func(at time.Time) {
		if at.After(last) {
			last = at
		}
	})
	return last
}

func (l *Ledger) arrivalsFrom(boxes map[string]bool, text string, each func(at time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, t := range l.tries {
		if !strings.Contains(id, text) {
			continue
		}
		for _, a := range t.arrivals {
			if boxes[a.box] {
				each(a.at)
			}
		}
	}
}

func (l *Ledger) checkGrace(name string, b *boxRecord, slack Slack, broken func(string, string, ...any)) {
	if b.told.IsZero() {
		return
	}
	for id, t := range l.tries {
		for _, a := range t.arrivals {
			if late := a.at.Sub(b.told); a.box == name && late > DrainGrace+slack.Grace {
				broken("3 no work after the grace", "%s came to box %s %v after it was told to leave", id, name, late.Round(time.Millisecond))
			}
		}
	}
}

// checkCold looks at each window that begins with a request to a cold box.
func checkCold(name string, b *boxRecord, broken func(string, string, ...any)) {
	if b.budget == nil {
		return
	}
	for i, from := range b.starts {
		n := 0
		for _, at := range b.starts[i:] {
			if at.Sub(from) > b.window {
				break
			}
			n++
		}
		if most := b.budget(from.Sub(b.born), b.window); float64(n) > most {
			broken("4 no cold box pushed over", "box %s got %d requests in %v at the age of %v, %0.0f allowed", name, n, b.window, from.Sub(b.born).Round(time.Millisecond), most)
			return
		}
	}
}
