package simulation

import (
	"fmt"
	"slices"
	"time"

	"sorrelrudder/internal/gossip"
)

const (
	// firstKey is the entry that each process writes as it starts.
	firstKey = "dead/first"
	// firstKind is the kind of all entries that are written.
	firstKind = "dead"

	maxConvergence   = 5 * time.Minute  // until the fleet has converged
	settleDuration   = 20 * time.Second // until nothing that was new at the start is sent any more
	maxWriteDuration = 20 * time.Second // until a write is complete
	maxDetection     = time.Minute      // until a death is known everywhere
	downtime         = time.Second      // of processes that restart; shorter than the detection of a death
	maxCatchUp       = time.Minute      // until they have all entries
)

// ScaleOptions say what a fleet is put through that only shares state by gossip.
type ScaleOptions struct {
	Seed          uint64
	Size          int
	Loss          float64       // fraction of all messages
	SlowFraction  float64       // of the processes: they handle some messages later than a probe waits
	StartupWindow time.Duration // over which all start
	RestDuration  time.Duration // over which the traffic at rest is measured
	WriteCount    int           // entries that are written one after the other once the fleet has converged
	KillCount     int           // processes that are then killed one after the other
	RestartCount  int           // processes that are then restarted at once, with no state
	Gossip        gossip.Config
}

// ScaleResult is what was measured. Times are virtual, except for ElapsedSeconds.
type ScaleResult struct {
	Size                int     `json:"size"`
	Loss                float64 `json:"loss"`
	ConvergedSeconds    float64 `json:"in_step_s"`      // from the start until all hold the same entries and see each other
	WriteP50Seconds     float64 `json:"converge_p50_s"` // from a write until all processes have it
	WriteP99Seconds     float64 `json:"converge_p99_s"`
	IncompleteWrites    int     `json:"missed"` // writes that some process did not get in time
	DetectionP50Seconds float64 `json:"dead_p50_s"`
	DetectionMaxSeconds float64 `json:"dead_most_s"` // from a death until all processes know of it
	FalseDeaths         int     `json:"false_deaths"`
	Suspicions          int     `json:"suspicions"`
	BytesPerSecond      float64 `json:"bytes_a_second"` // that a process sends at rest
	BusyBytesPerSecond  float64 `json:"bytes_a_second_busy"`
	FramesPerSecond     float64 `json:"frames_a_second"`
	CatchUpSeconds      float64 `json:"catchup_s"`     // of the slowest process that restarted
	CatchUpBytes        float64 `json:"catchup_bytes"` // that one of them received at most
	ElapsedSeconds      float64 `json:"real_s"`
}

// RunScale plays a fleet, and measures one phase after the other.
func RunScale(o ScaleOptions) ScaleResult {
	startedAt := time.Now()
	f := newScaleFleet(o)
	r := ScaleResult{Size: o.Size, Loss: o.Loss}
	f.measureConvergence(&r)
	f.measureRest(&r)
	f.measureWrites(&r)
	killed := f.measureDetection(&r)
	f.measureCatchUp(&r, killed)
	r.ElapsedSeconds = time.Since(startedAt).Seconds()
	return r
}

// measureConvergence runs the fleet until all processes see each other and hold the same.
func (f *scaleFleet) measureConvergence(r *ScaleResult) {
	f.run(f.now+f.options.StartupWindow, nil)
	f.run(maxConvergence, func() bool { return f.allAlive() && f.converged() })
	r.ConvergedSeconds = f.now.Seconds()
}

// measureRest measures the traffic of a fleet in which nothing changes.
func (f *scaleFleet) measureRest(r *ScaleResult) {
	f.run(f.now+settleDuration, nil)
	start, framesBefore := f.now, f.frames
	sent := -f.bytesSent()
	f.run(f.now+f.options.RestDuration, nil)
	sent += f.bytesSent()
	processSeconds := (f.now - start).Seconds() * float64(f.options.Size)
	r.BytesPerSecond, r.FramesPerSecond = sent/processSeconds, (f.frames-framesBefore)/processSeconds
}

// measureWrites writes entries one after the other, and measures how long each takes to reach all processes, the traffic and the members
// that were suspected or taken for dead meanwhile.
func (f *scaleFleet) measureWrites(r *ScaleResult) {
	before := make(map[string]gossip.Stats)
	for _, p := range f.processes {
		before[p.name] = p.node.Stats
	}
	start, sent := f.now, -f.bytesSent()
	var seconds []float64
	for i := range f.options.WriteCount {
		duration, complete := f.write(fmt.Sprintf("%s/w%d", firstKind, i))
		if !complete {
			r.IncompleteWrites++
		}
		seconds = append(seconds, duration.Seconds())
	}
	sent += f.bytesSent()
	if len(seconds) > 0 {
		slices.Sort(seconds)
		r.WriteP50Seconds = seconds[len(seconds)/2]
		r.WriteP99Seconds = seconds[min(len(seconds)-1, len(seconds)*99/100)]
		r.BusyBytesPerSecond = sent / (f.now - start).Seconds() / float64(f.options.Size)
	}
	for _, p := range f.processes {
		r.Suspicions += p.node.Stats.Suspicions - before[p.name].Suspicions
		r.FalseDeaths += p.node.Stats.Deaths - before[p.name].Deaths
	}
}

// write has a process write an entry, and returns how long it took until all had it, or that it was not complete in time.
func (f *scaleFleet) write(key string) (duration time.Duration, complete bool) {
	writer := f.processes[f.rng.IntN(len(f.processes))]
	writer.node.Put(key, []byte("x"))
	f.scheduleTick(writer)
	start := f.now
	waiting := slices.Clone(f.processes)
	complete = f.run(f.now+maxWriteDuration, func() bool {
		waiting = slices.DeleteFunc(waiting, func(p *scaleProcess) bool {
			_, stored := p.node.Store().Get(writer.name, key)
			return stored
		})
		return len(waiting) == 0
	})
	return f.now - start, complete
}

// measureDetection kills processes one after the other, measures how long it takes until all know of it, and returns them.
func (f *scaleFleet) measureDetection(r *ScaleResult) []*scaleProcess {
	var killed []*scaleProcess
	var seconds []float64
	for range f.options.KillCount {
		victim := f.processes[f.rng.IntN(len(f.processes))]
		if !victim.up {
			continue
		}
		victim.up = false
		killed = append(killed, victim)
		start := f.now
		waiting := slices.Clone(f.processes)
		f.run(f.now+maxDetection, func() bool {
			waiting = slices.DeleteFunc(waiting, func(p *scaleProcess) bool {
				return !p.up || p.node.Member(victim.name).State == gossip.Dead
			})
			return len(waiting) == 0
		})
		seconds = append(seconds, (f.now - start).Seconds())
	}
	if len(seconds) > 0 {
		slices.Sort(seconds)
		r.DetectionP50Seconds, r.DetectionMaxSeconds = seconds[len(seconds)/2], seconds[len(seconds)-1]
	}
	return killed
}

// measureCatchUp restarts processes that were not killed, and measures how long they take to get all entries, and how much they receive.
func (f *scaleFleet) measureCatchUp(r *ScaleResult, killed []*scaleProcess) {
	if f.options.RestartCount == 0 {
		return
	}
	var restarted []*scaleProcess
	for _, p := range f.processes {
		if len(restarted) < f.options.RestartCount && p.up && !slices.Contains(killed, p) {
			p.up = false
			restarted = append(restarted, p)
		}
	}
	f.run(f.now+downtime, nil)
	start := f.now
	for _, p := range restarted {
		p.bytesReceived = 0
		f.start(p)
	}
	waiting := slices.Clone(restarted)
	f.run(f.now+maxCatchUp, func() bool {
		waiting = slices.DeleteFunc(waiting, func(p *scaleProcess) bool {
			_, inSync := p.node.InSync(f.now)
			if inSync {
				r.CatchUpBytes = max(r.CatchUpBytes, p.bytesReceived)
			}
			return inSync
		})
		return len(waiting) == 0
	})
	r.CatchUpSeconds = (f.now - start).Seconds()
}
