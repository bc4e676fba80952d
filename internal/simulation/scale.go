package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sorrelrudder/internal/gossip"
)

// ScaleOptions say what a fleet of copies in virtual time is put through.
type ScaleOptions struct {
	Seed          uint64
	Size          int
	Loss          float64 // share of all messages
	WriteCount    int     // processes that write something, one after the other, once the fleet is in step
	KillCount     int     // processes that end without a word
	SlowFraction  float64 // share of processes that get to their messages late, now and then by more than a probe waits
	RestDuration  time.Duration
	StartupWindow time.Duration // over which all start
	Gossip        gossip.Config
	RestartCount  int // processes that return at once at the end, with nothing
}

// ScaleResult is what it came to.
type ScaleResult struct {
	Size                int     `json:"size"`
	Loss                float64 `json:"loss"`
	ConvergedSeconds    float64 `json:"in_step_s"`      // from the start until all hold the same of all
	WriteP50Seconds     float64 `json:"converge_p50_s"` // from a write to the last process that has it
	WriteP99Seconds     float64 `json:"converge_p99_s"`
	IncompleteWrites    int     `json:"missed"` // writes that some process never had
	DetectionP50Seconds float64 `json:"dead_p50_s"`
	DetectionMaxSeconds float64 `json:"dead_most_s"` // from a death until all hold it for dead
	FalseDeaths         int     `json:"false_deaths"`
	Suspicions          int     `json:"suspicions"`
	BytesPerSecond      float64 `json:"bytes_a_second"` // that a process sends at rest
	BusyBytesPerSecond  float64 `json:"bytes_a_second_busy"`
	FramesPerSecond     float64 `json:"frames_a_second"`
	CatchUpSeconds      float64 `json:"catchup_s"`     // the slowest of those that return
	CatchUpBytes        float64 `json:"catchup_bytes"` // that one of them is sent
	ElapsedSeconds      float64 `json:"real_s"`
}

type scaleNode struct {
	node *gossip.Node
	name string
	up   bool
	slow bool
	tick uint64
	sent float64
	got  float64
}

// scale is one run.
type scale struct {
	o      ScaleOptions
	now    time.Duration
	queue  events
	seq    uint64
	rng    *rand.Rand
	nodes  []*scaleNode
	byName map[string]*scaleNode
	frames float64
}

func (s *scale) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, &event{s.now + d, s.seq, do})
}

func (s *scale) run(until time.Duration, done func() bool) bool {
	next := s.now
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(*event)
		s.now = e.at
		e.do()
		if done != nil && s.now >= next {
			next = s.now + 10*time.Millisecond
			if done() {
				return true
			}
		}
	}
	s.now = until
	return done != nil && done()
}

func (s *scale) send(from *scaleNode, out []gossip.Envelope) {
	for _, o := range out {
		data := o.Message.Encode()
		from.sent += float64(len(data))
		s.frames++
		to := s.byName[o.To]
		if s.rng.Float64() < s.o.Loss {
			continue
		}
		d := time.Duration(500+s.rng.IntN(1500)) * time.Microsecond
		if to.slow && s.rng.IntN(10) == 0 {
			d += time.Duration(s.rng.IntN(600)) * time.Millisecond
		}
		m := o.Message
		s.after(d, func() {
			if to.up {
				to.got += float64(len(data))
				s.send(to, to.node.Receive(s.now, from.name, m))
				s.arm(to)
			}
		})
	}
}

func (s *scale) arm(p *scaleNode) {
	p.tick++
	mine := p.tick
	s.after(max(0, p.node.NextTick()-s.now), func() {
		if p.up && p.tick == mine {
			s.send(p, p.node.Tick(s.now))
			s.arm(p)
		}
	})
}

func (s *scale) start(p *scaleNode, names []string) {
	cfg := s.o.Gossip
	cfg.Name, cfg.Members, cfg.Seed = p.name, names, s.rng.Uint64()
	p.node, p.up = gossip.New(s.now, cfg), true
	s.arm(p)
}

// same reports whether all that run have equal copies and hold the same of who is there.
func (s *scale) same(kind string) bool {
	var first *scaleNode
	for _, p := range s.nodes {
		if !p.up {
			continue
		}
		if first == nil {
			first = p
			continue
		}
		if p.node.Store().Digest(kind) != first.node.Store().Digest(kind) {
			return false
		}
	}
	return true
}

// allThere reports whether each that runs holds all that run for alive.
func (s *scale) allThere() bool {
	up := 0
	for _, p := range s.nodes {
		if p.up {
			up++
		}
	}
	for _, p := range s.nodes {
		if p.up && p.node.Count(gossip.Alive)+p.node.Count(gossip.Suspect) != up-1 {
			return false
		}
	}
	return true
}

// RunScale plays a fleet of copies.
func RunScale(o ScaleOptions) ScaleResult {
	began := time.Now()
	s := &scale{o: o, rng: rand.New(rand.NewPCG(o.Seed, 77)), byName: map[string]*scaleNode{}}
	r := ScaleResult{Size: o.Size, Loss: o.Loss}
	names := make([]string, o.Size)
	for i := range names {
		names[i] = fmt.Sprintf("p%05d", i)
	}
	for _, name := range names {
		p := &scaleNode{name: name, slow: s.rng.Float64() < o.SlowFraction}
		s.nodes = append(s.nodes, p)
		s.byName[name] = p
		s.after(time.Duration(s.rng.Float64()*float64(o.StartupWindow)), func() {
			s.start(p, names)
			p.node.Put("dead/first", []byte(p.name))
		})
	}
	limit := 5 * time.Minute
	s.run(s.now+o.StartupWindow, nil)
	s.run(limit, func() bool { return s.allThere() && s.same("dead") })
	r.ConvergedSeconds = s.now.Seconds()
	spread := func() (bytes, frames float64) {
		from, sent, frames0 := s.now, 0.0, s.frames
		for _, p := range s.nodes {
			sent -= p.sent
		}
		s.run(s.now+o.RestDuration, nil)
		for _, p := range s.nodes {
			sent += p.sent
		}
		d := (s.now - from).Seconds() * float64(o.Size)
		return sent / d, (s.frames - frames0) / d
	}
	s.run(s.now+20*time.Second, nil) // what was new at the start has been told
	r.BytesPerSecond, r.FramesPerSecond = spread()
	before := make(map[string]gossip.Stats)
	for _, p := range s.nodes {
		before[p.name] = p.node.Stats
	}
	var took []float64
	var sent float64
	for _, p := range s.nodes {
		sent -= p.sent
	}
	wroteAt := s.now
	for i := range o.WriteCount {
		p := s.nodes[s.rng.IntN(len(s.nodes))]
		key := fmt.Sprintf("dead/w%d", i)
		p.node.Put(key, []byte("x"))
		s.arm(p)
		at := s.now
		left := slices.Clone(s.nodes)
		all := s.run(s.now+20*time.Second, func() bool {
			left = slices.DeleteFunc(left, func(q *scaleNode) bool {
				_, ok := q.node.Store().Get(p.name, key)
				return ok
			})
			return len(left) == 0
		})
		if !all {
			r.IncompleteWrites++
		}
		took = append(took, (s.now - at).Seconds())
	}
	for _, p := range s.nodes {
		sent += p.sent
	}
	if o.WriteCount > 0 {
		slices.Sort(took)
		r.WriteP50Seconds, r.WriteP99Seconds = took[len(took)/2], took[min(len(took)-1, len(took)*99/100)]
		r.BusyBytesPerSecond = sent / (s.now - wroteAt).Seconds() / float64(o.Size)
	}
	for _, p := range s.nodes {
		r.Suspicions += p.node.Stats.Suspicions - before[p.name].Suspicions
		r.FalseDeaths += p.node.Stats.Deaths - before[p.name].Deaths
	}
	var gone []*scaleNode
	var deaths []float64
	for range o.KillCount {
		p := s.nodes[s.rng.IntN(len(s.nodes))]
		if !p.up {
			continue
		}
		p.up = false
		gone = append(gone, p)
		at := s.now
		left := slices.Clone(s.nodes)
		s.run(s.now+time.Minute, func() bool {
			left = slices.DeleteFunc(left, func(q *scaleNode) bool { return !q.up || q.node.Member(p.name).State == gossip.Dead })
			return len(left) == 0
		})
		deaths = append(deaths, (s.now - at).Seconds())
	}
	if len(deaths) > 0 {
		slices.Sort(deaths)
		r.DetectionP50Seconds, r.DetectionMaxSeconds = deaths[len(deaths)/2], deaths[len(deaths)-1]
	}
	if o.RestartCount > 0 {
		var back []*scaleNode
		for _, p := range s.nodes {
			if len(back) < o.RestartCount && p.up && !slices.Contains(gone, p) {
				p.up = false
				back = append(back, p)
			}
		}
		s.run(s.now+time.Second, nil)
		at := s.now
		for _, p := range back {
			p.got = 0
			s.start(p, names)
			p.node.Put("dead/first", []byte(p.name))
		}
		// Those that stand may not have missed them: a second is shorter than a death.
		left := slices.Clone(back)
		s.run(s.now+time.Minute, func() bool {
			left = slices.DeleteFunc(left, func(p *scaleNode) bool {
				if _, ok := p.node.InSync(s.now); ok {
					r.CatchUpBytes = max(r.CatchUpBytes, p.got)
					return true
				}
				return false
			})
			return len(left) == 0
		})
		r.CatchUpSeconds = (s.now - at).Seconds()
	}
	r.ElapsedSeconds = time.Since(began).Seconds()
	return r
}
