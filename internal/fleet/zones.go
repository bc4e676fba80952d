package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/gossip"
	"sorrelrudder/internal/zonefailover"
	"sorrelrudder/internal/zoneview"
)

// ZonesConfig is what a process is told of leaving zones.
type ZonesConfig struct {
	Automatic string             // "off": operators decide; "advise": the log is told what would be; "on"
	Rules     zonefailover.Rules //
	Members   map[string]string  // zones of members, by name
}

// The words for Automatic.
const (
	ZonesOff    = "off"
	ZonesAdvise = "advise"
	ZonesOn     = "on"
)

const (
	judgeInterval = 200 * time.Millisecond
	listInterval  = 500 * time.Millisecond // between two looks at the pools' lists, and at zones that were left
)

// zoneFailover is a process' part in leaving zones. All of it is under the tier's mu.
type zoneFailover struct {
	cfg             *ZonesConfig // nil: nothing is decided here, and what is decided is carried out
	ramps           map[string]*zonefailover.Controller
	endpointZones   map[string]map[string]string // zones of servers, by pool
	judgeAt         time.Duration
	proposalPending bool
	proposedAt      time.Duration
	advised         map[string]string // by key, as the log was told
	causes          map[string]zonefailover.Cause
	grey            map[string]*zonefailover.GrayDetector // by pool
	greyKeys        map[string]bool                       // keys of grey zones that are written
	checkDue        chan struct{}                         // a zone is to be looked at, and is not yet
}

// judgeZones has the holder of the lease decide of zones, one change at a time. The caller has mu.
func (t *Host) judgeZones(now time.Duration) {
	k := t.shared
	z := &k.zones
	if z.cfg == nil || z.cfg.Automatic == ZonesOff || now < z.judgeAt {
		return
	}
	z.judgeAt = now + judgeInterval
	if k.pools != nil && k.node.Store().Digest(gossip.UnreachableKind) != 0 {
		for pool := range z.endpointZones {
			for zone := range k.zoneHealthChecks(t, pool, 0) {
				if !k.healthCheckKeys[gossip.PoolKey(zoneview.ZoneCheckKind, pool, zone)] { // at once, and not with the next round
					select {
					case z.checkDue <- struct{}{}:
					default:
					}
				}
			}
		}
	}
	token, _, held := t.session.Token(now, zoneview.LeaseName)
	if !held {
		clear(z.ramps) // whoever holds it next begins anew
		return
	}
	for _, pool := range slices.Sorted(maps.Keys(z.endpointZones)) {
		if z.ramps[pool] == nil {
			z.ramps[pool] = zonefailover.NewController(z.cfg.Rules)
		}
		scene := zoneview.Snapshot(k.node, z.cfg.Members, pool, z.endpointZones[pool])
		change, causes := z.ramps[pool].Next(now, scene)
		for zone, cause := range causes {
			key := pool + "/" + zone
			if z.causes[key] != cause {
				z.causes[key] = cause
				if cause != zonefailover.CauseHealthy {
					t.log.Info("a zone is judged", "pool", pool, "zone", zone, "cause", string(cause), "words", len(scene.Unreachable))
				}
			}
		}
		if change == nil || z.proposalPending && now < z.proposedAt+t.cfg.Rules.KeepAliveInterval() {
			continue // without an answer it is asked again: After tells a late copy from a new one
		}
		key := gossip.PoolKey(consensus.ZoneKind, pool, change.Zone)
		if z.cfg.Automatic == ZonesAdvise {
			if z.advised[key] != change.State.Encode() {
				z.advised[key] = change.State.Encode()
				t.log.Warn("a zone would be decided", "pool", pool, "zone", change.Zone, "step", change.State.Step, "why", change.State.Reason)
			}
			continue
		}
		z.proposalPending, z.proposedAt = true, now
		command := zoneview.ShiftCommand(k.node, pool, *change, token)
		t.submit(&pendingRequest{request: consensus.Request{Decision: &command}, onResponse: func(r consensus.Response) {
			z.proposalPending = false
			if r.Decision == nil || r.Decision.Refusal != "" {
				return // it is looked at again
			}
			t.log.Warn("a zone is decided", "pool", pool, "zone", change.Zone, "step", change.State.Step, "falls", change.State.Relapses, "why", change.State.Reason, "epoch", r.Decision.Number)
			k.node.ApplyDecision(key, r.Decision.Number, []byte(change.State.Encode()))
		}})
	}
}

// watchZones looks around again and again.
func (t *Host) watchZones() {
	tick := time.NewTicker(listInterval)
	defer tick.Stop()
	for {
		t.checkZoneHealth()
		select {
		case <-t.ctx.Done():
			return
		case <-tick.C:
		case <-t.shared.zones.checkDue:
		}
	}
}

// checkZoneHealth takes the pools' lists, and looks at zones that are not wholly in use. It is called without
// the tier's mu: it waits for servers.
func (t *Host) checkZoneHealth() {
	k := t.shared
	lists := map[string]map[string]string{}
	tallies := map[string]map[string]zonefailover.AttemptCounts{}
	for _, pool := range k.pools.PoolNames() {
		lists[pool] = k.pools.ReadyEndpoints(pool)
		tallies[pool] = map[string]zonefailover.AttemptCounts{}
		k.pools.AttemptOutcomes(pool, func(zone string, answered, failed int64, delay time.Duration) {
			tallies[pool][zone] = zonefailover.AttemptCounts{Succeeded: answered, Failed: failed, TotalLatency: delay}
		})
	}
	type look struct {
		pool, zone string
		servers    []string
	}
	var looks []look
	t.mu.Lock()
	if !maps.EqualFunc(lists, k.zones.endpointZones, maps.Equal[map[string]string]) {
		k.exclusionsChanged, k.evidenceChanged = true, true // servers may be new
	}
	k.zones.endpointZones = lists
	t.publishGreyZones(tallies)
	wanted := map[string]bool{}
	for _, pool := range slices.Sorted(maps.Keys(lists)) {
		k.healthCheckRounds++
		for zone, servers := range k.zoneHealthChecks(t, pool, k.healthCheckRounds) {
			looks = append(looks, look{pool, zone, servers})
			wanted[gossip.PoolKey(zoneview.ZoneCheckKind, pool, zone)] = true
		}
	}
	for key := range k.healthCheckKeys {
		if !wanted[key] {
			k.node.Delete(key)
			delete(k.healthCheckKeys, key)
		}
	}
	t.runDue()
	t.mu.Unlock()
	for _, l := range looks {
		var answered atomic.Int64
		var all sync.WaitGroup
		for _, server := range l.servers {
			all.Go(func() {
				if k.pools.CheckHealth(l.pool, server) {
					answered.Add(1)
				}
			})
		}
		all.Wait()
		t.mu.Lock()
		key := gossip.PoolKey(zoneview.ZoneCheckKind, l.pool, l.zone)
		if k.node.Put(key, zoneview.EncodeZoneCheck(int(answered.Load()), len(l.servers))) {
			k.healthCheckKeys[key] = true
		}
		t.runDue()
		t.mu.Unlock()
	}
}

// publishGreyZones writes which zones fail in part to this process. The caller has mu.
func (t *Host) publishGreyZones(tallies map[string]map[string]zonefailover.AttemptCounts) {
	k, z := t.shared, &t.shared.zones
	if z.cfg == nil || !z.cfg.Rules.GrayFailures {
		return
	}
	now := t.clock.Now()
	said := map[string]bool{}
	for pool, zones := range tallies {
		if z.grey[pool] == nil {
			z.grey[pool] = zonefailover.NewGrayDetector(zonefailover.DefaultGrayRules())
		}
		for _, zone := range z.grey[pool].Observe(now, zones) {
			if key := gossip.PoolKey(zoneview.GrayFailureKind, pool, zone); key != "" && k.node.Put(key, nil) {
				said[key] = true
			}
		}
	}
	for key := range z.greyKeys {
		if !said[key] {
			k.node.Delete(key)
		}
	}
	z.greyKeys = said
	for pool := range z.grey {
		if tallies[pool] == nil {
			delete(z.grey, pool)
		}
	}
}

// zoneHealthChecks are the zones of a pool at which this process is to look, and servers of each. The caller has mu.
func (k *sharedState) zoneHealthChecks(t *Host, pool string, turn int) map[string][]string {
	var rules *zonefailover.Rules
	members := map[string]string{}
	if cfg := k.zones.cfg; cfg != nil {
		members = cfg.Members
		if cfg.Automatic != ZonesOff {
			rules = &cfg.Rules
		}
	} else {
		for name := range t.cfg.Members {
			members[name] = ""
		}
	}
	return zoneview.AssignedChecks(k.node, rules, members, t.cfg.Name, pool, k.zones.endpointZones[pool], turn)
}

// addZoneExclusions adds to a pool's orders those about zones that are not wholly in use.
func (k *sharedState) addZoneExclusions(at func(pool string) exclusions) {
	for pool, list := range k.zones.endpointZones {
		avoid, returning, soft := zoneview.Exclusions(k.node, pool, list)
		for server := range soft {
			at(pool).untilRestart[server] = !at(pool).excluded[server] // an operator's word on the server itself is harder
		}
		if len(avoid)+len(returning) > 0 {
			maps.Copy(at(pool).excluded, avoid)
			maps.Copy(at(pool).recovering, returning)
		}
	}
}

// ZoneStatus is what a process tells of a zone.
type ZoneStatus struct {
	Pool    string `json:"pool"`
	Zone    string `json:"zone"`
	Servers int    `json:"servers"` // that the list names ready
	Avoided int    `json:"avoided"` // of them, here, now
	Epoch   uint64 `json:"epoch"`   // of what was decided of it last; 0: nothing was
	Step    int    `json:"step"`    // 0: left, to 4: in use
	Pinned  bool   `json:"pinned,omitempty"`
	Cold    bool   `json:"cold,omitempty"` // wholly in use, and its servers may be cold
	Falls   int    `json:"falls,omitempty"`
	Why     string `json:"why,omitempty"`
	Cause   string `json:"cause,omitempty"` // at the process that decides: what it is judged to be
}

// zonesStatus tells of all zones. The caller has mu.
func (k *sharedState) zonesStatus() (all []ZoneStatus) {
	for _, pool := range slices.Sorted(maps.Keys(k.zones.endpointZones)) {
		states, numbers := zoneview.ZoneStates(k.node, pool)
		count, avoided := map[string]int{}, map[string]int{}
		for server, zone := range k.zones.endpointZones[pool] {
			count[zone]++
			if k.excluded[pool].excluded[server] {
				avoided[zone]++
			}
		}
		for _, zone := range slices.Sorted(maps.Keys(count)) {
			if zone == "" {
				continue
			}
			s, is := states[zone]
			if !is {
				s.Step = zonefailover.FullStep
			}
			all = append(all, ZoneStatus{
				Pool: pool, Zone: zone, Servers: count[zone], Avoided: avoided[zone], Epoch: numbers[zone], Step: s.Step, Pinned: s.Manual, Cold: s.WarmingUp, Falls: s.Relapses,
				Why: s.Reason, Cause: string(k.zones.causes[pool+"/"+zone]),
			})
		}
	}
	return all
}

// Check says what of a configuration can't be.
func (z *ZonesConfig) Check() error {
	if err := z.Rules.Validate(); err != nil {
		return err
	}
	known := map[string]bool{}
	for _, zone := range z.Members {
		known[zone] = true
	}
	if z.Automatic != ZonesOff && known[""] {
		var without []string
		for name, zone := range z.Members {
			if zone == "" {
				without = append(without, name)
			}
		}
		slices.Sort(without)
		return fmt.Errorf("the zones of %s are not told: whether a zone is down is for members of several to say", strings.Join(without, ", "))
	}
	return nil
}
