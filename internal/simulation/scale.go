package simulation

import (
	"fmt"
	"slices"
	"time"

	"sorrelrudder/internal/gossip"
)

const (
	// startupKey is the key of the entry that each process writes when it starts.
	startupKey = "dead/first"
	// entryKind is the kind of all entries that processes write.
	entryKind = "dead"

	maxConvergence   = 5 * time.Minute  // time limit for convergence, since the start of the run
	settleDuration   = 20 * time.Second // time after which gossip no longer spreads updates from the start of the fleet
	maxWriteDuration = 20 * time.Second // time limit for a write to reach all processes
	maxDetection     = time.Minute      // time limit for all processes to detect a death
	downtime         = time.Second      // how long restarted processes are down; shorter than the time to detect a death
	maxCatchUp       = time.Minute      // time limit for each restarted process to be found equal to another
)

// ScaleOptions are the parameters of a scale run: a fleet whose processes only share state by gossip, and its load and faults.
type ScaleOptions struct {
	Seed          uint64
	Size          int
	Loss          float64       // fraction of all messages that is lost
	SlowFraction  float64       // fraction of processes that handle some messages later than the time-out of a probe
	StartupWindow time.Duration // time over which the starts are spread
	RestDuration  time.Duration // time over which the traffic of an idle fleet is measured
	WriteCount    int           // entries written one after the other after the fleet has converged
	KillCount     int           // random draws of a process to kill after the writes; a process drawn again is not killed again
	RestartCount  int           // processes restarted at once, without state, after the kills
	Gossip        gossip.Config
}

// ScaleResult holds the measurements of a scale run. All times are virtual except ElapsedSeconds. Without writes, kills or restarts the
// fields about them are 0.
type ScaleResult struct {
	Size                int     `json:"size"`
	Loss                float64 `json:"loss"`
	ConvergedSeconds    float64 `json:"in_step_s"`      // from the start until all processes hold the same entries and see each other
	WriteP50Seconds     float64 `json:"converge_p50_s"` // from a write until all processes hold it
	WriteP99Seconds     float64 `json:"converge_p99_s"`
	IncompleteWrites    int     `json:"missed"` // writes that did not reach all processes within the time limit
	DetectionP50Seconds float64 `json:"dead_p50_s"`
	DetectionMaxSeconds float64 `json:"dead_most_s"` // from a death until all processes have detected it; at most maxDetection
	FalseDeaths         int     `json:"false_deaths"`
	Suspicions          int     `json:"suspicions"`
	BytesPerSecond      float64 `json:"bytes_a_second"` // sent by each process in an idle fleet
	BusyBytesPerSecond  float64 `json:"bytes_a_second_busy"`
	FramesPerSecond     float64 `json:"frames_a_second"`
	CatchUpSeconds      float64 `json:"catchup_s"`     // until the slowest restarted process was found equal to another; at most maxCatchUp
	CatchUpBytes        float64 `json:"catchup_bytes"` // the most that one restarted process received until then
	ElapsedSeconds      float64 `json:"real_s"`
}

// RunScale runs a fleet in virtual time and measures one phase after the other: convergence, rest, writes, detection and catch-up.
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

// measureConvergence runs the fleet until all processes see each other and hold the same entries, until maxConvergence at most.
func (f *scaleFleet) measureConvergence(r *ScaleResult) {
	f.run(f.Now()+f.options.StartupWindow, nil)
	f.run(maxConvergence, func() bool { return f.allAlive() && f.converged() })
	r.ConvergedSeconds = f.Now().Seconds()
}

// measureRest measures the gossip traffic of an idle fleet.
func (f *scaleFleet) measureRest(r *ScaleResult) {
	f.run(f.Now()+settleDuration, nil)
	start, framesBefore := f.Now(), f.frames
	sent := -f.bytesSent()
	f.run(f.Now()+f.options.RestDuration, nil)
	sent += f.bytesSent()
	processSeconds := (f.Now() - start).Seconds() * float64(f.options.Size)
	r.BytesPerSecond, r.FramesPerSecond = sent/processSeconds, (f.frames-framesBefore)/processSeconds
}

// measureWrites writes entries one after the other. It measures the time until each entry has reached all processes, the traffic, and the
// number of members that were suspected or declared dead meanwhile.
func (f *scaleFleet) measureWrites(r *ScaleResult) {
	before := make(map[string]gossip.Stats)
	for _, p := range f.processes {
		before[p.name] = p.node.Stats
	}
	start, sent := f.Now(), -f.bytesSent()
	var seconds []float64
	for i := range f.options.WriteCount {
		duration, complete := f.write(fmt.Sprintf("%s/w%d", entryKind, i))
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
		r.BusyBytesPerSecond = sent / (f.Now() - start).Seconds() / float64(f.options.Size)
	}
	for _, p := range f.processes {
		r.Suspicions += p.node.Stats.Suspicions - before[p.name].Suspicions
		r.FalseDeaths += p.node.Stats.Deaths - before[p.name].Deaths
	}
}

// write has a random process write an entry. It returns the time until all processes held the entry, and whether that was within
// maxWriteDuration.
func (f *scaleFleet) write(key string) (duration time.Duration, complete bool) {
	writer := f.processes[f.rng.IntN(len(f.processes))]
	writer.node.Put(key, []byte("x"))
	f.scheduleTick(writer)
	start := f.Now()
	waiting := slices.Clone(f.processes)
	complete = f.run(f.Now()+maxWriteDuration, func() bool {
		waiting = slices.DeleteFunc(waiting, func(p *scaleProcess) bool {
			_, stored := p.node.Store().Get(writer.name, key)
			return stored
		})
		return len(waiting) == 0
	})
	return f.Now() - start, complete
}

// measureDetection kills processes one after the other, and measures the time until all others have detected each death. It returns the
// killed processes.
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
		start := f.Now()
		waiting := slices.Clone(f.processes)
		f.run(f.Now()+maxDetection, func() bool {
			waiting = slices.DeleteFunc(waiting, func(p *scaleProcess) bool {
				return !p.up || p.node.Member(victim.name).State == gossip.Dead
			})
			return len(waiting) == 0
		})
		seconds = append(seconds, (f.Now() - start).Seconds())
	}
	if len(seconds) > 0 {
		slices.Sort(seconds)
		r.DetectionP50Seconds, r.DetectionMaxSeconds = seconds[len(seconds)/2], seconds[len(seconds)-1]
	}
	return killed
}

// measureCatchUp restarts processes that were not killed. It measures the time until gossip has found each of them equal to another
// process, and the bytes that they receive meanwhile.
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
	f.run(f.Now()+downtime, nil)
	start := f.Now()
	for _, p := range restarted {
		p.bytesReceived = 0
		f.start(p)
	}
	waiting := slices.Clone(restarted)
	f.run(f.Now()+maxCatchUp, func() bool {
		waiting = slices.DeleteFunc(waiting, func(p *scaleProcess) bool {
			_, inSync := p.node.InSync(f.Now())
			if inSync {
				r.CatchUpBytes = max(r.CatchUpBytes, p.bytesReceived)
			}
			return inSync
		})
		return len(waiting) == 0
	})
	r.CatchUpSeconds = (f.Now() - start).Seconds()
}
