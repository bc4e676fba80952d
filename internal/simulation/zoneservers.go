package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/gossip"
	"sorrelrudder/internal/zonefailover"
)

// The faults of servers. They are drawn only with Options.ZoneFailover.
const (
	FaultZoneDown      FaultKind = "zone-down" // no server of a zone answers
	FaultZonePartition FaultKind = "zone-torn" // members of one zone get no answer from another
	FaultBadRelease    FaultKind = "release"   // two servers of each zone answer nobody
	FaultZoneShift     FaultKind = "zone-word" // an operator shifts a zone, and ends it after a while
)

const (
	poolName       = "farm"
	zoneCount      = 3
	serversPerZone = 3
)

// zoneName returns the name of the zone of that index.
func zoneName(zone int) string { return string(rune('a' + zone)) }

// zoneIndex returns the index of the zone of that name, or of the zone of a server of that name.
func zoneIndex(name string) int { return int(name[0] - 'a') }

// zoneServers is the true state of the servers.
type zoneServers struct {
	zones map[string]string // by server

	// Active faults.
	downFaults      [zoneCount]int
	partitionFaults [zoneCount][zoneCount]int // by the zones of the members and of the servers
	badReleases     int

	down           [zoneCount]bool
	downChangedAt  [zoneCount]time.Duration
	unreachableAt  [zoneCount][zoneCount]time.Duration // by the zones of the servers and of the members: when last
	mostlyUnseenAt [zoneCount]time.Duration            // when members of two zones or more last saw the zone fail
}

// neverSeen is a time long before the start of a run.
const neverSeen = -time.Hour

func newZoneServers() *zoneServers {
	z := &zoneServers{zones: map[string]string{}}
	for zone := range zoneCount {
		z.mostlyUnseenAt[zone] = neverSeen
		for from := range zoneCount {
			z.unreachableAt[zone][from] = neverSeen
		}
		for i := range serversPerZone {
			z.zones[fmt.Sprint(zoneName(zone), i)] = zoneName(zone)
		}
	}
	return z
}

// answers reports whether a server answers the members of a zone.
func (z *zoneServers) answers(server string, from int) bool {
	zone := zoneIndex(server)
	return z.downFaults[zone] == 0 && z.partitionFaults[from][zone] == 0 && (z.badReleases == 0 || server[1] == '0')
}

// record records the state of the zones now. Members may report a zone for zoneReportDelay after it has recovered; a bad release counts for
// each zone, since its servers may recover in the members' view one zone at a time.
func (z *zoneServers) record(now time.Duration) {
	for zone := range zoneCount {
		unreachableFrom := 0
		for from := range zoneCount {
			if z.partitionFaults[from][zone] > 0 || z.downFaults[zone] > 0 || z.badReleases > 0 {
				z.unreachableAt[zone][from] = now
			}
			if now <= z.unreachableAt[zone][from]+zoneReportDelay {
				unreachableFrom++
			}
		}
		if unreachableFrom > 1 {
			z.mostlyUnseenAt[zone] = now
		}
		if down := z.downFaults[zone] > 0; down != z.down[zone] {
			z.down[zone], z.downChangedAt[zone] = down, now
		}
	}
}

// drawZoneFaults draws the faults of servers. With onlyZones there are no other faults in the run, and a zone fails again while it recovers.
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

// drawRelapse draws a zone that fails twice, the second time about when its recovery ramp is under way.
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

// injectZoneFault has a fault of servers happen, and reports whether it is one.
func (s *simulation) injectZoneFault(f Fault) bool {
	if s.servers == nil {
		return false
	}
	switch f.Kind {
	case FaultZoneDown:
		s.countZoneFault(&s.servers.downFaults[f.Target%zoneCount], f.Duration)
	case FaultZonePartition:
		s.countZoneFault(&s.servers.partitionFaults[f.Peer%zoneCount][f.Target%zoneCount], f.Duration)
	case FaultBadRelease:
		s.countZoneFault(&s.servers.badReleases, f.Duration)
	case FaultZoneShift:
		zone := f.Target % zoneCount
		s.commandZone(zone, zonefailover.State{Manual: true, Reason: "an operator"})
		s.after(f.Duration, func() { s.commandZone(zone, zonefailover.State{Reason: "an operator lets go"}) })
	default:
		return false
	}
	return true
}

// countZoneFault counts an active fault of servers for its duration, and records the state of the zones around both changes.
func (s *simulation) countZoneFault(active *int, duration time.Duration) {
	change := func(by int) {
		s.servers.record(s.now)
		*active += by
		s.servers.record(s.now)
	}
	change(1)
	s.after(duration, func() { change(-1) })
}

// commandZone has an operator set the state of a zone. A later command on the zone ends the attempts at an earlier one, though copies of it
// may still be under way.
func (s *simulation) commandZone(zone int, state zonefailover.State) {
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
