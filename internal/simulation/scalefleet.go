package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sorrelrudder/internal/gossip"
)

const (
	// scaleStream is the random stream of a seed that scale runs draw from.
	scaleStream = 77
	// conditionInterval is the virtual time between two looks at the condition that a run waits for.
	conditionInterval = 10 * time.Millisecond
)

// scaleFleet is a fleet of processes that only share state by gossip, in virtual time.
type scaleFleet struct {
	scheduler
	options   ScaleOptions
	rng       *rand.Rand
	names     []string
	processes []*scaleProcess
	byName    map[string]*scaleProcess
	frames    float64 // that were sent
}

// scaleProcess is one process of it.
type scaleProcess struct {
	name          string
	node          *gossip.Node
	up            bool
	slow          bool
	ticks         uint64 // that were scheduled; only the newest one is due
	bytesSent     float64
	bytesReceived float64
}

// newScaleFleet makes a fleet whose processes start over the startup window.
func newScaleFleet(o ScaleOptions) *scaleFleet {
	f := &scaleFleet{options: o, rng: random(o.Seed, scaleStream), byName: map[string]*scaleProcess{}}
	f.names = make([]string, o.Size)
	for i := range f.names {
		f.names[i] = fmt.Sprintf("p%05d", i)
	}
	for _, name := range f.names {
		p := &scaleProcess{name: name, slow: f.rng.Float64() < o.SlowFraction}
		f.processes = append(f.processes, p)
		f.byName[name] = p
		f.after(time.Duration(f.rng.Float64()*float64(o.StartupWindow)), func() { f.start(p) })
	}
	return f
}

// run runs the events until a time, or until done reports true, and returns whether it did. done may be nil.
func (f *scaleFleet) run(until time.Duration, done func() bool) bool {
	nextLook := f.now
	for f.dueBy(until) {
		f.step()
		if done != nil && f.now >= nextLook {
			nextLook = f.now + conditionInterval
			if done() {
				return true
			}
		}
	}
	f.now = until
	return done != nil && done()
}

// start starts a process with no state but an entry of its own.
func (f *scaleFleet) start(p *scaleProcess) {
	cfg := f.options.Gossip
	cfg.Name, cfg.Members, cfg.Seed = p.name, f.names, f.rng.Uint64()
	p.node, p.up = gossip.New(f.now, cfg), true
	f.scheduleTick(p)
	p.node.Put(firstKey, []byte(p.name))
}

// scheduleTick schedules the next tick of a process, in place of the one that is due.
func (f *scaleFleet) scheduleTick(p *scaleProcess) {
	p.ticks++
	tick := p.ticks
	f.after(max(0, p.node.NextTick()-f.now), func() {
		if p.up && p.ticks == tick {
			f.send(p, p.node.Tick(f.now))
			f.scheduleTick(p)
		}
	})
}

// send sends messages of a process, some of which are lost, or late at a slow process.
func (f *scaleFleet) send(from *scaleProcess, out []gossip.Envelope) {
	for _, envelope := range out {
		size := float64(len(envelope.Message.Encode()))
		from.bytesSent += size
		f.frames++
		to := f.byName[envelope.To]
		if f.rng.Float64() < f.options.Loss {
			continue
		}
		delay := time.Duration(500+f.rng.IntN(1500)) * time.Microsecond
		if to.slow && f.rng.IntN(10) == 0 {
			delay += time.Duration(f.rng.IntN(600)) * time.Millisecond
		}
		f.after(delay, func() {
			if to.up {
				to.bytesReceived += size
				f.send(to, to.node.Receive(f.now, from.name, envelope.Message))
				f.scheduleTick(to)
			}
		})
	}
}

// bytesSent returns the bytes that all processes have sent.
func (f *scaleFleet) bytesSent() float64 {
	sent := 0.0
	for _, p := range f.processes {
		sent += p.bytesSent
	}
	return sent
}

// converged reports whether all running processes hold the same entries.
func (f *scaleFleet) converged() bool {
	var first *scaleProcess
	for _, p := range f.processes {
		if !p.up {
			continue
		}
		if first == nil {
			first = p
			continue
		}
		if p.node.Store().Digest(firstKind) != first.node.Store().Digest(firstKind) {
			return false
		}
	}
	return true
}

// allAlive reports whether each running process sees all others that run.
func (f *scaleFleet) allAlive() bool {
	up := 0
	for _, p := range f.processes {
		if p.up {
			up++
		}
	}
	for _, p := range f.processes {
		if p.up && p.node.Count(gossip.Alive)+p.node.Count(gossip.Suspect) != up-1 {
			return false
		}
	}
	return true
}
