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

// ZonesConfig says how a process takes part in failing over from zones.
type ZonesConfig struct {
	Automatic string             // ZonesOff, ZonesAdvise or ZonesOn
	Rules     zonefailover.Rules // when a zone is down, and how it recovers
	Members   map[string]string  // zones of members, by name
}

// The values of ZonesConfig.Automatic.
const (
	ZonesOff    = "off"    // operators decide alone
	ZonesAdvise = "advise" // what would be decided is logged
	ZonesOn     = "on"     // the holder of the zones' lease decides
)

const (
	judgeInterval     = 200 * time.Millisecond
	checkZoneInterval = 500 * time.Millisecond
)

// zoneFailover is the part of a process in failing over from zones. Host.mu guards all of it but checkDue.
type zoneFailover struct {
	cfg           *ZonesConfig                        // nil: this process decides nothing, and carries out what is decided
	controllers   map[string]*zonefailover.Controller // by pool; empty while this process does not hold the lease
	endpointZones map[string]map[string]string        // zones of ready endpoints by name, by pool
	judgeAt       time.Duration                       // next judgement

	proposalPending bool // a proposal to the leader has no answer yet
	proposedAt      time.Duration

	loggedAdvice map[string]string             // by key
	lastCauses   map[string]zonefailover.Cause // by pool and zone; from when this process last held the lease

	grayDetectors map[string]*zonefailover.GrayDetector // by pool
	grayKeys      map[string]bool                       // entries on gray failures that this process has written

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

// enabled reports whether this process judges zones, be it for the log alone.
func (z *zoneFailover) enabled() bool { return z.cfg != nil && z.cfg.Automatic != ZonesOff }

// judgeZones has the holder of the zones' lease judge all zones, and propose one change at a time; every process first requests the checks that
// are due. The caller has mu.
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
		clear(z.controllers) // the next holder begins anew
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
			continue // a proposal without an answer is repeated: the state machine tells a late copy from a new one
		}
		if z.cfg.Automatic == ZonesAdvise {
			h.logZoneAdvice(pool, *change)
			continue
		}
		h.proposeZoneChange(now, pool, *change, token)
	}
}

// requestDueChecks has zones checked at once that this process has to check and has not yet. The caller has mu.
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

// logZoneCauses notes the causes of verdicts, and logs those that have changed to another than healthy. The caller has mu.
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

// logZoneAdvice logs once what would be decided. The caller has mu.
func (h *Host) logZoneAdvice(pool string, change zonefailover.Transition) {
	logged := h.shared.zones.loggedAdvice
	key := gossip.PoolKey(consensus.ZoneKind, pool, change.Zone)
	if logged[key] != change.State.Encode() {
		logged[key] = change.State.Encode()
		h.log.Warn("zone shift advised", "pool", pool, "zone", change.Zone, "step", change.State.Step, "why", change.State.Reason)
	}
}

// proposeZoneChange asks the leader to decide a change under the fencing token of the zones' lease. The caller has mu.
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

// watchZones checks zones until the host closes.
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

// checkZones takes over the pools' endpoints and checks the zones that are assigned to this process. It waits for endpoints, and so is called
// without mu.
func (h *Host) checkZones() {
	shared := h.shared
	zones := map[string]map[string]string{}
	counts := map[string]map[string]zonefailover.AttemptCounts{}
	for _, pool := range shared.pools.PoolNames() {
		zones[pool] = shared.pools.ReadyEndpoints(pool)
		counts[pool] = map[string]zonefailover.AttemptCounts{}
		shared.pools.AttemptOutcomes(pool, func(zone string, answered, failed int64, delay time.Duration) {
			counts[pool][zone] = zonefailover.AttemptCounts{Succeeded: answered, Failed: failed, TotalLatency: delay}
		})
	}
	for _, check := range h.planZoneChecks(zones, counts) {
		h.checkZone(check)
	}
}

// planZoneChecks notes the pools' endpoints and gray failures, and returns the checks that this process has to make now.
func (h *Host) planZoneChecks(zones map[string]map[string]string, counts map[string]map[string]zonefailover.AttemptCounts) []zoneCheck {
	h.mu.Lock()
	defer h.mu.Unlock()
	shared := h.shared
	if !maps.EqualFunc(zones, shared.zones.endpointZones, maps.Equal[map[string]string]) {
		shared.exclusionsChanged, shared.evidenceChanged = true, true // endpoints may be new
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

// checkZone sends health checks to endpoints of a zone, waits for them, and publishes how many were answered.
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

// publishGrayZones publishes the zones in which some attempts of this process fail. The caller has mu.
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

// assignedZoneChecks returns the zones of a pool that this process has to check in this round, with the endpoints to check. The caller has mu.
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

// Check returns an error if the rules are out of range, or if members have no zone where zones are judged.
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
