package tier

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"

	"sorrelrudder/internal/council"
	"sorrelrudder/internal/evacuate"
	"sorrelrudder/internal/replica"
)

// ZonesConfig is what a process is told of leaving zones.
type ZonesConfig struct {
	Automatic string            // "off": operators decide; "advise": the log is told what would be; "on"
	Rules     evacuate.Rules    //
	Members   map[string]string // zones of members, by name
}

// The words for Automatic.
const (
	ZonesOff    = "off"
	ZonesAdvise = "advise"
	ZonesOn     = "on"
)

const (
	zonesLease = "zones" // whose holder decides
	lookKind   = "look"  // of entries that tell whether a member gets answers from a zone that is not wholly in use
	judgeEvery = 200 * time.Millisecond
	listEvery  = 500 * time.Millisecond // between two looks at the pools' lists, and at zones that were left
	lookers    = 5                      // members that look at a zone, at most, all together
)

// zones is a process' part in leaving zones. All of it is under the tier's mu.
type zones struct {
	cfg     *ZonesConfig // nil: nothing is decided here, and what is decided is carried out
	keepers map[string]*evacuate.Keeper
	lists   map[string]map[string]string // zones of servers, by pool
	judgeAt time.Duration
	asking  bool
	askedAt time.Duration
	advised map[string]string // by key, as the log was told
	causes  map[string]evacuate.Cause
}

// decidedZones are what is decided of a pool's zones, and the numbers of the decisions.
func (k *copies) decidedZones(pool string) (states map[string]evacuate.State, numbers map[string]uint64) {
	states, numbers = map[string]evacuate.State{}, map[string]uint64{}
	k.node.Copies().All(council.ZoneKind+"/", func(e *replica.Entry) bool {
		p, zone, ok := replica.ServerOf(e.Key)
		if !ok || p != pool {
			return true
		}
		numbers[zone] = e.Seq
		worst, any := evacuate.State{Step: evacuate.Steps}, false
		for _, v := range e.Values() { // of several contents of one version the one that uses least
			if s, err := evacuate.Decode(string(v)); err == nil && (!any || s.Step < worst.Step) {
				worst, any = s, true
			}
		}
		if any {
			states[zone] = worst
		}
		return true
	})
	return states, numbers
}

// scene is what is known of a pool.
func (k *copies) scene(t *Tier, pool string) evacuate.Scene {
	s := evacuate.Scene{Zones: map[string]string{}, Members: len(t.cfg.Members)}
	for server, zone := range k.zones.lists[pool] {
		s.Servers = append(s.Servers, evacuate.Server{Name: server, Zone: zone})
	}
	slices.SortFunc(s.Servers, func(a, b evacuate.Server) int { return cmp.Compare(a.Name, b.Name) })
	for name := range t.cfg.Members {
		if st := k.node.Member(name).State; st == replica.Alive {
			s.Zones[name] = k.zones.cfg.Members[name]
		}
	}
	k.node.Copies().All(replica.DeadKind+"/"+pool+"/", func(e *replica.Entry) bool {
		if _, server, ok := replica.ServerOf(e.Key); ok && len(e.Values()) > 0 {
			s.Words = append(s.Words, evacuate.Word{Member: e.Owner, Server: server})
		}
		return true
	})
	k.node.Copies().All(lookKind+"/"+pool+"/", func(e *replica.Entry) bool {
		if _, zone, ok := replica.ServerOf(e.Key); ok && len(e.Values()) > 0 {
			answers := true
			for _, v := range e.Values() {
				answers = answers && string(v) == "1"
			}
			s.Looks = append(s.Looks, evacuate.Look{Member: e.Owner, Zone: zone, Answers: answers})
		}
		return true
	})
	s.Decided, _ = k.decidedZones(pool)
	return s
}

// judge has the holder of the lease decide of zones, one change at a time. The caller has mu.
func (t *Tier) judge(now time.Duration) {
	k := t.copies
	z := &k.zones
	if z.cfg == nil || z.cfg.Automatic == ZonesOff || now < z.judgeAt {
		return
	}
	z.judgeAt = now + judgeEvery
	token, _, held := t.keeper.Holding(now, zonesLease)
	if !held {
		clear(z.keepers) // whoever holds it next begins anew
		return
	}
	for _, pool := range slices.Sorted(maps.Keys(z.lists)) {
		if z.keepers[pool] == nil {
			z.keepers[pool] = evacuate.NewKeeper(z.cfg.Rules)
		}
		scene := k.scene(t, pool)
		change, causes := z.keepers[pool].Next(now, scene)
		for zone, cause := range causes {
			key := pool + "/" + zone
			if z.causes[key] != cause {
				z.causes[key] = cause
				if cause != evacuate.Well {
					t.log.Info("a zone is judged", "pool", pool, "zone", zone, "cause", string(cause), "words", len(scene.Words))
				}
			}
		}
		if change == nil || z.asking && now < z.askedAt+t.cfg.Rules.RenewEvery() {
			continue // without an answer it is asked again: After tells a late copy from a new one
		}
		key := replica.ServerKey(council.ZoneKind, pool, change.Zone)
		if z.cfg.Automatic == ZonesAdvise {
			if z.advised[key] != change.State.Encode() {
				z.advised[key] = change.State.Encode()
				t.log.Warn("a zone would be decided", "pool", pool, "zone", change.Zone, "step", change.State.Step, "why", change.State.Why)
			}
			continue
		}
		_, numbers := k.decidedZones(pool)
		z.asking, z.askedAt = true, now
		t.call(&call{q: council.Request{Order: &council.OrderCommand{Key: key, Value: change.State.Encode(), Token: token, After: numbers[change.Zone]}}, then: func(r council.Response) {
			z.asking = false
			if r.Order == nil || r.Order.Why != "" {
				return // it is looked at again
			}
			t.log.Warn("a zone is decided", "pool", pool, "zone", change.Zone, "step", change.State.Step, "falls", change.State.Falls, "why", change.State.Why, "epoch", r.Order.Number)
			k.node.Decide(key, r.Order.Number, []byte(change.State.Encode()))
		}})
	}
}

// watchZones looks around again and again.
func (t *Tier) watchZones() {
	tick := time.NewTicker(listEvery)
	defer tick.Stop()
	for {
		t.lookAround()
		select {
		case <-t.ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// lookAround takes the pools' lists, and looks at zones that are not wholly in use. It is called without
// the tier's mu: it waits for servers.
func (t *Tier) lookAround() {
	k := t.copies
	lists := map[string]map[string]string{}
	for _, pool := range k.pools.PoolNames() {
		lists[pool] = k.pools.Servers(pool)
	}
	type look struct{ pool, zone, server string }
	var looks []look
	t.mu.Lock()
	if !maps.EqualFunc(lists, k.zones.lists, maps.Equal[map[string]string]) {
		k.ordered, k.stirred = true, true // servers may be new
	}
	k.zones.lists = lists
	wanted := map[string]bool{}
	for pool, list := range lists {
		states, _ := k.decidedZones(pool)
		for zone, s := range states {
			if s.Step >= evacuate.Steps || !k.looksAt(t, zone) {
				continue
			}
			var of []string
			for server, in := range list {
				if in == zone {
					of = append(of, server)
				}
			}
			if len(of) > 0 {
				slices.Sort(of)
				k.turns++
				looks = append(looks, look{pool, zone, of[k.turns%len(of)]})
				wanted[replica.ServerKey(lookKind, pool, zone)] = true
			}
		}
	}
	for key := range k.looked {
		if !wanted[key] {
			k.node.Delete(key)
			delete(k.looked, key)
		}
	}
	t.keep()
	t.mu.Unlock()
	for _, l := range looks {
		answers := k.pools.Look(l.pool, l.server)
		value := "0"
		if answers {
			value = "1"
		}
		t.mu.Lock()
		key := replica.ServerKey(lookKind, l.pool, l.zone)
		if k.node.Put(key, []byte(value)) {
			k.looked[key] = true
		}
		t.keep()
		t.mu.Unlock()
	}
}

// looksAt reports whether this process is one of those that look at a zone that was left: a few of those that are there, not all.
func (k *copies) looksAt(t *Tier, zone string) bool {
	rank := func(name string) uint64 {
		h := fnv.New64a()
		h.Write([]byte(name + "/" + zone))
		return h.Sum64()
	}
	mine, before := rank(t.cfg.Name), 0
	for name := range t.cfg.Members {
		if name != t.cfg.Name && k.node.Member(name).State == replica.Alive && rank(name) < mine {
			before++
		}
	}
	return before < lookers
}

// addZones adds to a pool's orders those about zones that are not wholly in use.
func (k *copies) addZones(at func(pool string) orders) {
	for pool, list := range k.zones.lists {
		states, _ := k.decidedZones(pool)
		if len(states) == 0 {
			continue
		}
		var servers []evacuate.Server
		for server, zone := range list {
			servers = append(servers, evacuate.Server{Name: server, Zone: zone})
		}
		avoid := evacuate.Avoided(servers, states)
		for _, x := range servers {
			if s, is := states[x.Zone]; avoid[x.Name] {
				at(pool).avoid[x.Name] = true
			} else if is && s.Step < evacuate.Steps {
				at(pool).returning[x.Name] = true
			}
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
	Falls   int    `json:"falls,omitempty"`
	Why     string `json:"why,omitempty"`
	Cause   string `json:"cause,omitempty"` // at the process that decides: what it is judged to be
}

// zonesStatus tells of all zones. The caller has mu.
func (k *copies) zonesStatus() (all []ZoneStatus) {
	for _, pool := range slices.Sorted(maps.Keys(k.zones.lists)) {
		states, numbers := k.decidedZones(pool)
		count, avoided := map[string]int{}, map[string]int{}
		for server, zone := range k.zones.lists[pool] {
			count[zone]++
			if k.avoiding[pool].avoid[server] {
				avoided[zone]++
			}
		}
		for _, zone := range slices.Sorted(maps.Keys(count)) {
			if zone == "" {
				continue
			}
			s, is := states[zone]
			if !is {
				s.Step = evacuate.Steps
			}
			all = append(all, ZoneStatus{
				Pool: pool, Zone: zone, Servers: count[zone], Avoided: avoided[zone], Epoch: numbers[zone], Step: s.Step, Pinned: s.Pinned, Falls: s.Falls,
				Why: s.Why, Cause: string(k.zones.causes[pool+"/"+zone]),
			})
		}
	}
	return all
}

// Check says what of a configuration can't be.
func (z *ZonesConfig) Check() error {
	if err := z.Rules.Check(); err != nil {
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
