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

// ZonesConfig configures the participation of a process in zone failover.
type ZonesConfig struct {
	Automatic string             // ZonesOff, ZonesAdvise or ZonesOn
	Rules     zonefailover.Rules // when a zone is down, and how it recovers
	Members   map[string]string  // zone of each member, by member name
}

// The values of ZonesConfig.Automatic.
const (
	ZonesOff    = "off"    // only operators decide
	ZonesAdvise = "advise" // decisions are logged, but not made
	ZonesOn     = "on"     // the holder of the zone lease decides
)

const (
	judgeInterval     = 200 * time.Millisecond
	checkZoneInterval = 500 * time.Millisecond
)

// zoneFailover is the participation of a process in zone failover. Host.mu guards all fields but checkDue.
type zoneFailover struct {
	cfg           *ZonesConfig                        // nil: this process makes no decisions, but applies them
	controllers   map[string]*zonefailover.Controller // by pool; empty while this process does not hold the lease
	endpointZones map[string]map[string]string        // zones of ready endpoints by name, by pool
	judgeAt       time.Duration                       // when zones are judged next

	proposalPending bool // a proposal to the leader has no response yet
	proposedAt      time.Duration

	loggedAdvice map[string]string             // by key
	lastCauses   map[string]zonefailover.Cause // by pool and zone: verdicts of this process when it last held the zone lease

	grayDetectors map[string]*zonefailover.GrayDetector // by pool
	grayKeys      map[string]bool                       // keys of the entries on gray failures that this process has written

	checkDue chan struct{} // signals that a zone has to be checked before the next interval
}

func newZoneFailover(cfg *ZonesConfig) zoneFailover {
	return zoneFailover{
		cfg:           cfg,
		controllers:   map[string]*zonefailover.Controller{},
		loggedAdvice:  map[string]string{},
		lastCauses:    map[string]zonefailover.Cause{},
		grayDetectors: map[string]*zonefailover.GrayDetector{},
		grayKeys:      map[string]bool{},
		checkDue:      make(chan struct{}, 1),
	}
}

// enabled reports whether this process judges zones, even if only for the log.
func (z *zoneFailover) enabled() bool { return z.cfg != nil && z.cfg.Automatic != ZonesOff }

// judgeZones requests the zone checks that are due. If this process holds the zone lease, it then judges all zones and proposes one change
// at a time. The caller must hold mu.
func (h *Host) judgeZones(now time.Duration) {
	shared := h.shared
	z := &shared.zones
	if !z.enabled() || now < z.judgeAt {
		return
	}
	z.judgeAt = now + judgeInterval
	h.requestDueChecks()
	token, _, held := h.session.Token(now, zoneview.LeaseName)
	if !held {
		clear(z.controllers) // the next holder starts with new controllers
		return
	}
	for _, pool := range slices.Sorted(maps.Keys(z.endpointZones)) {
		if z.controllers[pool] == nil {
			z.controllers[pool] = zonefailover.NewController(z.cfg.Rules)
		}
		snapshot := zoneview.Snapshot(shared.node, z.cfg.Members, pool, z.endpointZones[pool])
		change, causes := z.controllers[pool].Next(now, snapshot)
		h.logZoneCauses(pool, causes, len(snapshot.Unreachable))
		if change == nil || z.proposalPending && now < z.proposedAt+h.cfg.LeaseTiming.KeepAliveInterval() {
			continue // a proposal without a response is repeated; the state machine distinguishes a late copy from a new proposal
		}
		if z.cfg.Automatic == ZonesAdvise {
			h.logZoneAdvice(pool, *change)
			continue
		}
		h.proposeZoneChange(now, pool, *change, token)
	}
}

// requestDueChecks requests an immediate check if this process has to check a zone that it has not checked yet. The caller must hold mu.
func (h *Host) requestDueChecks() {
	shared := h.shared
	if shared.pools == nil || shared.node.Store().Digest(gossip.UnreachableKind) == 0 {
		return
	}
	for pool := range shared.zones.endpointZones {
		for zone := range h.assignedZoneChecks(pool, 0) {
			if !shared.healthCheckKeys[gossip.PoolKey(zoneview.ZoneCheckKind, pool, zone)] {
				signal(shared.zones.checkDue)
			}
		}
	}
}

// logZoneCauses records the verdicts on zones, and logs each change to a verdict other than healthy. The caller must hold mu.
func (h *Host) logZoneCauses(pool string, causes map[string]zonefailover.Cause, reports int) {
	logged := h.shared.zones.lastCauses
	for zone, cause := range causes {
		key := pool + "/" + zone
		if logged[key] == cause {
			continue
		}
		logged[key] = cause
		if cause != zonefailover.CauseHealthy {
			h.log.Info("zone verdict changed", "pool", pool, "zone", zone, "cause", string(cause), "words", reports)
		}
	}
}

// logZoneAdvice logs a change that automatic failover would make, once. The caller must hold mu.
func (h *Host) logZoneAdvice(pool string, change zonefailover.Transition) {
	logged := h.shared.zones.loggedAdvice
	key := gossip.PoolKey(consensus.ZoneKind, pool, change.Zone)
	if logged[key] != change.State.Encode() {
		logged[key] = change.State.Encode()
		h.log.Warn("zone change advised but not made: automatic failover is set to advise", "pool", pool, "zone", change.Zone, "step", change.State.Step, "why", change.State.Reason)
	}
}

// proposeZoneChange proposes a change to the leader under the fencing token of the zone lease. The caller must hold mu.
func (h *Host) proposeZoneChange(now time.Duration, pool string, change zonefailover.Transition, token uint64) {
	shared := h.shared
	z := &shared.zones
	z.proposalPending, z.proposedAt = true, now
	command := zoneview.ShiftCommand(shared.node, pool, change, token)
	h.submit(&pendingRequest{request: consensus.Request{Decision: &command}, onResponse: func(r consensus.Response) {
		z.proposalPending = false
		if r.Decision == nil || r.Decision.Refusal != "" {
			return // the zone is judged again
		}
		h.log.Warn("zone shift decided", "pool", pool, "zone", change.Zone, "step", change.State.Step, "falls", change.State.Relapses,
			"why", change.State.Reason, "epoch", r.Decision.Number)
		key := gossip.PoolKey(consensus.ZoneKind, pool, change.Zone)
		shared.node.ApplyDecision(key, r.Decision.Number, []byte(change.State.Encode()))
	}})
}

// watchZones checks zones periodically and on request until the host closes.
func (h *Host) watchZones() {
	tick := time.NewTicker(checkZoneInterval)
	defer tick.Stop()
	for {
		h.checkZones()
		select {
		case <-h.ctx.Done():
			return
		case <-tick.C:
		case <-h.shared.zones.checkDue:
		}
	}
}

// zoneCheck is a health check of some endpoints of a zone.
type zoneCheck struct {
	pool, zone string
	endpoints  []string
}

// checkZones updates the endpoints of the pools and checks the zones that are assigned to this process. It waits for endpoints and must be
// called without mu.
func (h *Host) checkZones() {
	shared := h.shared
	zones := map[string]map[string]string{}
	counts := map[string]map[string]zonefailover.AttemptCounts{}
	for _, pool := range shared.pools.PoolNames() {
		zones[pool] = shared.pools.ReadyEndpoints(pool)
		counts[pool] = map[string]zonefailover.AttemptCounts{}
		shared.pools.AttemptOutcomes(pool, func(zone string, answered, failed int64, totalLatency time.Duration) {
			counts[pool][zone] = zonefailover.AttemptCounts{Succeeded: answered, Failed: failed, TotalLatency: totalLatency}
		})
	}
	for _, check := range h.planZoneChecks(zones, counts) {
		h.checkZone(check)
	}
}

// planZoneChecks records the pools' endpoints and gray failures, and returns the checks that this process has to make now.
func (h *Host) planZoneChecks(zones map[string]map[string]string, counts map[string]map[string]zonefailover.AttemptCounts) []zoneCheck {
	h.mu.Lock()
	defer h.mu.Unlock()
	shared := h.shared
	if !maps.EqualFunc(zones, shared.zones.endpointZones, maps.Equal[map[string]string]) {
		shared.exclusionsChanged, shared.failureReportsChanged = true, true // endpoints may be new
	}
	shared.zones.endpointZones = zones
	h.publishGrayZones(counts)
	var checks []zoneCheck
	wanted := map[string]bool{}
	for _, pool := range slices.Sorted(maps.Keys(zones)) {
		shared.healthCheckRounds++
		for zone, endpoints := range h.assignedZoneChecks(pool, shared.healthCheckRounds) {
			checks = append(checks, zoneCheck{pool, zone, endpoints})
			wanted[gossip.PoolKey(zoneview.ZoneCheckKind, pool, zone)] = true
		}
	}
	for key := range shared.healthCheckKeys {
		if !wanted[key] {
			shared.node.Delete(key)
			delete(shared.healthCheckKeys, key)
		}
	}
	h.runDue()
	return checks
}

// checkZone sends health checks to endpoints of a zone, waits for the responses, and publishes how many endpoints answered.
func (h *Host) checkZone(check zoneCheck) {
	shared := h.shared
	var answered atomic.Int64
	var all sync.WaitGroup
	for _, endpoint := range check.endpoints {
		all.Go(func() {
			if shared.pools.CheckHealth(check.pool, endpoint) {
				answered.Add(1)
			}
		})
	}
	all.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	key := gossip.PoolKey(zoneview.ZoneCheckKind, check.pool, check.zone)
	if shared.node.Put(key, zoneview.EncodeZoneCheck(int(answered.Load()), len(check.endpoints))) {
		shared.healthCheckKeys[key] = true
	}
	h.runDue()
}

// publishGrayZones publishes the zones that have a gray failure according to this process's own attempts. The caller must hold mu.
func (h *Host) publishGrayZones(counts map[string]map[string]zonefailover.AttemptCounts) {
	shared, z := h.shared, &h.shared.zones
	if z.cfg == nil || !z.cfg.Rules.GrayFailures {
		return
	}
	now := h.clock.Now()
	published := map[string]bool{}
	for pool, zones := range counts {
		if z.grayDetectors[pool] == nil {
			z.grayDetectors[pool] = zonefailover.NewGrayDetector(zonefailover.DefaultGrayRules())
		}
		for _, zone := range z.grayDetectors[pool].Observe(now, zones) {
			if key := gossip.PoolKey(zoneview.GrayFailureKind, pool, zone); key != "" && shared.node.Put(key, nil) {
				published[key] = true
			}
		}
	}
	for key := range z.grayKeys {
		if !published[key] {
			shared.node.Delete(key)
		}
	}
	z.grayKeys = published
	maps.DeleteFunc(z.grayDetectors, func(pool string, _ *zonefailover.GrayDetector) bool { return counts[pool] == nil })
}

// assignedZoneChecks returns the zones of a pool that this process has to check in this round, with the endpoints to check. The caller must
// hold mu.
func (h *Host) assignedZoneChecks(pool string, round int) map[string][]string {
	z := &h.shared.zones
	var rules *zonefailover.Rules
	members := map[string]string{}
	switch {
	case z.enabled():
		members, rules = z.cfg.Members, &z.cfg.Rules
	case z.cfg != nil:
		members = z.cfg.Members
	default:
		for name := range h.cfg.Members {
			members[name] = ""
		}
	}
	return zoneview.AssignedChecks(h.shared.node, rules, members, h.cfg.Name, pool, z.endpointZones[pool], round)
}

// Check returns an error if the rules are out of range, or if zones are judged automatically and a member has no zone.
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
		return fmt.Errorf("no zone is configured for members %s: a zone counts as down only if members in several zones report it", strings.Join(without, ", "))
	}
	return nil
}
