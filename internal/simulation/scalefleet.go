package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sorrelrudder/internal/gossip"
	"sorrelrudder/internal/virtualtime"
)

const (
	// scaleStream is the number of the random stream that scale runs use.
	scaleStream = 77
	// conditionInterval is the virtual time between two checks of the condition that run waits for.
	conditionInterval = 10 * time.Millisecond
)

// scaleFleet is a fleet in virtual time whose processes only share state by gossip.
type scaleFleet struct {
	virtualtime.Scheduler
	options   ScaleOptions
	rng       *rand.Rand
	names     []string
	processes []*scaleProcess
	byName    map[string]*scaleProcess
	frames    float64 // number of messages sent
}

// scaleProcess is one process of a scaleFleet.
type scaleProcess struct {
	name          string
	node          *gossip.Node
	up            bool
	slow          bool
	latestTick    uint64 // number of the latest scheduled tick; earlier ones are dropped
	bytesSent     float64
	bytesReceived float64
}

// newScaleFleet returns a fleet whose processes start at random times within the startup window.
func newScaleFleet(o ScaleOptions) *scaleFleet {
	f := &scaleFleet{options: o, rng: randomStream(o.Seed, scaleStream), byName: map[string]*scaleProcess{}}
	f.names = make([]string, o.Size)
	for i := range f.names {
		f.names[i] = fmt.Sprintf("p%05d", i)
	}
	for _, name := range f.names {
		p := &scaleProcess{name: name, slow: f.rng.Float64() < o.SlowFraction}
		f.processes = append(f.processes, p)
		f.byName[name] = p
		f.After(time.Duration(f.rng.Float64()*float64(o.StartupWindow)), func() { f.start(p) })
	}
	return f
}

// run runs all events up to the virtual time until, or stops early when done returns true. It returns the last result of done. done may be
// nil: then run does not stop early and returns false.
func (f *scaleFleet) run(until time.Duration, done func() bool) bool {
	nextCheck := f.Now()
	for f.DueBy(until) {
		f.Step()
		if done != nil && f.Now() >= nextCheck {
			nextCheck = f.Now() + conditionInterval
			if done() {
				return true
			}
		}
	}
	f.AdvanceTo(until)
	return done != nil && done()
}

// start starts a process without state, and has it write its startup entry.
func (f *scaleFleet) start(p *scaleProcess) {
	cfg := f.options.Gossip
	cfg.Name, cfg.Members, cfg.Seed = p.name, f.names, f.rng.Uint64()
	p.node, p.up = gossip.New(f.Now(), cfg), true
	f.scheduleTick(p)
	p.node.Put(startupKey, []byte(p.name))
}

// scheduleTick schedules the next tick of a process. It replaces the tick that is already scheduled.
func (f *scaleFleet) scheduleTick(p *scaleProcess) {
	p.latestTick++
	tick := p.latestTick
	f.After(max(0, p.node.NextTick()-f.Now()), func() {
		if p.up && p.latestTick == tick {
			f.send(p, p.node.Tick(f.Now()))
			f.scheduleTick(p)
		}
	})
}

// send sends messages of a process. It loses the configured fraction of them, and delays some messages to slow processes.
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
		f.After(delay, func() {
			if to.up {
				to.bytesReceived += size
				f.send(to, to.node.Receive(f.Now(), from.name, envelope.Message))
				f.scheduleTick(to)
			}
		})
	}
}

// bytesSent returns the number of bytes that all processes have sent.
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
		if p.node.Store().Digest(entryKind) != first.node.Store().Digest(entryKind) {
			return false
		}
	}
	return true
}

// allAlive reports whether each running process sees as many live or suspected members as there are other running processes.
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
