package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/gossip"
	"sorrelrudder/internal/zonefailover"
)

// Faults of servers. They are drawn only with Options.ZoneFailover.
const (
	FaultZoneDown      FaultKind = "zone-down" // no server of a zone responds
	FaultZonePartition FaultKind = "zone-torn" // members of one zone get no response from servers of another zone
	FaultBadRelease    FaultKind = "release"   // two servers of each zone respond to no member
	FaultZoneShift     FaultKind = "zone-word" // an operator shifts traffic away from a zone, and later ends the shift
)

const (
	poolName       = "farm"
	zoneCount      = 3
	serversPerZone = 3
)

// zoneName returns the name of the zone with the given index.
func zoneName(zone int) string { return string(rune('a' + zone)) }

// zoneIndex returns the index of a zone from its name or from the name of one of its servers.
func zoneIndex(name string) int { return int(name[0] - 'a') }

// zoneServers holds the true state of the servers, which the observer compares with the decisions on zones.
type zoneServers struct {
	zones map[string]string // by server: its zone

	// Numbers of active faults, by kind and zone.
	downFaults      [zoneCount]int
	partitionFaults [zoneCount][zoneCount]int // by zone of the members, then zone of the servers
	badReleases     int

	down                [zoneCount]bool
	downChangedAt       [zoneCount]time.Duration
	lastUnreachableAt   [zoneCount][zoneCount]time.Duration // when last, by zone of the servers, then zone of the members
	widelyUnreachableAt [zoneCount]time.Duration            // when the zone last was unreachable from two or more zones
}

// longBeforeStart is the initial value of the times of events that have not happened. It is older than any period that a check looks back.
const longBeforeStart = -time.Hour

func newZoneServers() *zoneServers {
	z := &zoneServers{zones: map[string]string{}}
	for zone := range zoneCount {
		z.widelyUnreachableAt[zone] = longBeforeStart
		for from := range zoneCount {
			z.lastUnreachableAt[zone][from] = longBeforeStart
		}
		for i := range serversPerZone {
			z.zones[fmt.Sprint(zoneName(zone), i)] = zoneName(zone)
		}
	}
	return z
}

// answers reports whether a server responds to the members of the zone with index from.
func (z *zoneServers) answers(server string, from int) bool {
	zone := zoneIndex(server)
	return z.downFaults[zone] == 0 && z.partitionFaults[from][zone] == 0 && (z.badReleases == 0 || server[1] == '0')
}

// record records the current state of the zones. A zone counts as unreachable for zoneReportDelay after its recovery, since members may
// report it until then. A bad release counts as a failure of each zone, since members may see the servers recover one zone at a time.
func (z *zoneServers) record(now time.Duration) {
	for zone := range zoneCount {
		unreachableFrom := 0
		for from := range zoneCount {
			if z.partitionFaults[from][zone] > 0 || z.downFaults[zone] > 0 || z.badReleases > 0 {
				z.lastUnreachableAt[zone][from] = now
			}
			if now <= z.lastUnreachableAt[zone][from]+zoneReportDelay {
				unreachableFrom++
			}
		}
		if unreachableFrom > 1 {
			z.widelyUnreachableAt[zone] = now
		}
		if down := z.downFaults[zone] > 0; down != z.down[zone] {
			z.down[zone], z.downChangedAt[zone] = down, now
		}
	}
}

// drawZoneFaults draws the faults of servers. With onlyZones, when the run has no other faults, it draws a zone that fails again during its
// recovery.
func drawZoneFaults(rng *rand.Rand, onlyZones bool) []Fault {
	if onlyZones {
		return drawRelapse(rng)
	}
	kinds := []FaultKind{FaultZoneDown, FaultZoneDown, FaultZoneDown, FaultZoneDown, FaultZonePartition, FaultBadRelease, FaultZoneShift}
	var all []Fault
	for n := 1 + rng.IntN(4); n > 0; n-- {
		fault := Fault{
			At:       faultsFrom + time.Duration(rng.Int64N(int64(faultsUntil-faultsFrom-2*time.Second))),
			Target:   rng.IntN(zoneCount),
			Peer:     rng.IntN(zoneCount),
			Duration: time.Duration(200+rng.IntN(6500)) * time.Millisecond,
		}
		fault.Kind = kinds[rng.IntN(len(kinds))]
		all = append(all, fault)
	}
	return all
}

// drawRelapse draws two failures of one zone. The second one starts at about the time of the recovery ramp after the first.
func drawRelapse(rng *rand.Rand) []Fault {
	zone := rng.IntN(zoneCount)
	first := Fault{Kind: FaultZoneDown, Target: zone}
	first.At = faultsFrom + time.Duration(rng.IntN(2000))*time.Millisecond
	first.Duration = time.Duration(1000+rng.IntN(4000)) * time.Millisecond
	second := Fault{Kind: FaultZoneDown, Target: zone}
	second.At = first.At + first.Duration + 400*time.Millisecond + time.Duration(rng.IntN(1600))*time.Millisecond
	second.Duration = time.Duration(3000+rng.IntN(3000)) * time.Millisecond
	return []Fault{first, second}
}

// injectZoneFault starts a fault of servers. It returns false for faults of other kinds, and in a run without zones.
func (s *simulation) injectZoneFault(f Fault) bool {
	if s.servers == nil {
		return false
	}
	switch f.Kind {
	case FaultZoneDown:
		s.activateZoneFault(&s.servers.downFaults[f.Target%zoneCount], f.Duration)
	case FaultZonePartition:
		s.activateZoneFault(&s.servers.partitionFaults[f.Peer%zoneCount][f.Target%zoneCount], f.Duration)
	case FaultBadRelease:
		s.activateZoneFault(&s.servers.badReleases, f.Duration)
	case FaultZoneShift:
		zone := f.Target % zoneCount
		s.submitZoneCommand(zone, zonefailover.State{Manual: true, Reason: "an operator"})
		s.After(f.Duration, func() { s.submitZoneCommand(zone, zonefailover.State{Reason: "an operator lets go"}) })
	default:
		return false
	}
	return true
}

// activateZoneFault increments a count of active faults of servers for a duration. It records the state of the zones before and after both
// changes.
func (s *simulation) activateZoneFault(active *int, duration time.Duration) {
	change := func(by int) {
		s.servers.record(s.Now())
		*active += by
		s.servers.record(s.Now())
	}
	change(1)
	s.After(duration, func() { change(-1) })
}

// submitZoneCommand has an operator submit a state of a zone until the consensus group accepts it. A later command on the same zone stops
// the retries of an earlier one, but messages with the earlier command may still arrive.
func (s *simulation) submitZoneCommand(zone int, state zonefailover.State) {
	command := consensus.DecisionCommand{
		Key:         gossip.PoolKey(consensus.ZoneKind, poolName, zoneName(zone)),
		Value:       state.Encode(),
		Conditional: s.options.Bug != BugCommandRepeated,
	}
	s.zoneCommands[zone]++
	number := s.zoneCommands[zone]
	s.submitUntilDone(func() consensus.Request {
		submitted := command
		return consensus.Request{Decision: &submitted}
	}, func(r consensus.Response) (done bool) {
		if r.Decision == nil || s.zoneCommands[zone] != number {
			return true
		}
		next, again := command.Rebase(r.Decision)
		command = next
		return !again
	})
}
