package consensus

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"sorrelrudder/internal/gossip"
)

// OrderKind begins the keys of what operators order: "order/POOL/SERVER".
const OrderKind = "order"

// ZoneKind begins the keys of what is decided of zones: "zone/POOL/ZONE".
const ZoneKind = "zone"

// MostOrders bounds the orders, those included that were lifted: their numbers are kept, so that no late copy brings them back.
const MostOrders = 1024

// Order is something that operators have decided for the whole fleet.
type Order struct {
	Number uint64 `json:"number"` // of the decision: grows with each
	Value  string `json:"value,omitempty"`
	Lifted bool   `json:"lifted,omitempty"`
	Token  uint64 `json:"token,omitempty"` // of the lease under which it was decided; 0: by an operator
}

// OrderCommand gives an order or lifts it.
type OrderCommand struct {
	Key   string `json:"key"`
	Value string `json:"value,omitempty"`
	Lift  bool   `json:"lift,omitempty"`
	// Token is the fencing token of the lease whose holder decides; 0: an operator does. After is the number of the decision that it builds
	// on: if another has come between, it is refused, and the holder looks again.
	Token uint64 `json:"token,omitempty"`
	After uint64 `json:"after,omitempty"`
	// Seen, of a holder's word on a zone, is the newest decision on any zone of the pool that it knows of: what the others can bear was reckoned with
	// those, and one that has come between may have left another zone.
	Seen uint64 `json:"seen,omitempty"`
	// Built has an operator's command build on After, too: a copy of it that comes late, or twice, changes nothing. Without it the command is
	// carried out as often as it comes.
	Built bool `json:"built,omitempty"`
}

// OrderResult is what became of it.
type OrderResult struct {
	Why    string `json:"why,omitempty"`
	Number uint64 `json:"number,omitempty"`
	// Now is what is in force where something else was decided meanwhile, Number its number.
	Now *Order `json:"now,omitempty"`
}

// Meanwhile is why a command was refused that builds on what is in force no more.
const Meanwhile = "something else was decided meanwhile"

// Again is what an operator is to ask after a refusal for something that was decided meanwhile: the same, building on that. ok is false if that very
// thing is in force: it was done, and its answer was lost, or another has done it. Without such a refusal c is returned as it is.
func (c OrderCommand) Again(r *OrderResult) (next OrderCommand, ok bool) {
	if r.Why != Meanwhile || c.Token != 0 {
		return c, false
	}
	if r.Now != nil && r.Now.Lifted == c.Lift && (c.Lift || r.Now.Value == c.Value) {
		return c, false
	}
	c.After = r.Number
	return c, true
}

// Decided tells how far the council has come with its decisions, and the sum of all: who has the same sum has all of them.
type Decided struct {
	Number uint64 `json:"number"`
	Sum    uint64 `json:"sum"`
	Fleet  string `json:"fleet"` // whose council it is
}

func (f *Fleet) order(c OrderCommand) OrderResult {
	switch {
	case !strings.HasPrefix(c.Key, OrderKind+"/") && !strings.HasPrefix(c.Key, ZoneKind+"/") || len(c.Key) > gossip.MaxKeyBytes || len(c.Value) > gossip.MaxValueBytes:
		return OrderResult{Why: "malformed"}
	case c.Token != 0 && c.Token < f.Decider:
		return OrderResult{Why: "a newer holder decides"}
	case (c.Token != 0 || c.Built) && f.numberOf(c.Key) != c.After:
		r := OrderResult{Why: Meanwhile, Number: f.numberOf(c.Key)}
		if now := f.Orders[c.Key]; now != nil {
			was := *now
			r.Now = &was
		}
		return r
	case c.Token != 0 && f.newestZone(c.Key) > c.Seen:
		return OrderResult{Why: Meanwhile, Number: f.newestZone(c.Key)}
	case c.Lift && (f.Orders[c.Key] == nil || f.Orders[c.Key].Lifted):
		return OrderResult{Why: fmt.Sprintf("%q is not ordered", c.Key)}
	case f.Orders[c.Key] == nil && len(f.Orders) >= MostOrders:
		return OrderResult{Why: fmt.Sprintf("%d orders were given, and more are not kept", MostOrders)}
	}
	if f.Orders == nil {
		f.Orders = map[string]*Order{}
	}
	f.Ordered++
	f.Decider = max(f.Decider, c.Token)
	f.Orders[c.Key] = &Order{Number: f.Ordered, Value: c.Value, Lifted: c.Lift, Token: c.Token}
	return OrderResult{Number: f.Ordered}
}

// numberOf is that of the newest decision on a key, 0 without one.
func (f *Fleet) numberOf(key string) uint64 {
	if o := f.Orders[key]; o != nil {
		return o.Number
	}
	return 0
}

// newestZone is the number of the newest decision on a zone of the pool that key is of, 0 without one or for another kind of key.
func (f *Fleet) newestZone(key string) (newest uint64) {
	if gossip.KindOf(key) != ZoneKind {
		return 0
	}
	pool, _, _ := gossip.SplitPoolKey(key)
	for other, o := range f.Orders {
		if strings.HasPrefix(other, ZoneKind+"/"+pool+"/") {
			newest = max(newest, o.Number)
		}
	}
	return newest
}

// DecidedKinds are those of what the council decides.
var DecidedKinds = []string{OrderKind, ZoneKind}

// OrdersSince calls each with the orders that are newer than a number, in the order of their numbers, and returns the newest number.
func (f *Fleet) OrdersSince(number uint64, each func(key string, o Order)) uint64 {
	var fresh []string
	for key, o := range f.Orders {
		if o.Number > number {
			fresh = append(fresh, key)
		}
	}
	slices.SortFunc(fresh, func(a, b string) int { return int(int64(f.Orders[a].Number - f.Orders[b].Number)) })
	for _, key := range fresh {
		each(key, *f.Orders[key])
	}
	return f.Ordered
}

// decided is how far this node has come, as it is told with each renewal.
func (f *Fleet) decided() *Decided {
	d, tag := &Decided{Number: f.Ordered, Fleet: f.ID}, gossip.FleetTag(f.ID)
	for _, key := range slices.Sorted(maps.Keys(f.Orders)) {
		o := f.Orders[key]
		d.Sum += gossip.DecidedEntry(tag, key, o.Number, o.bytes()).Digest()
	}
	return d
}

func (o *Order) bytes() []byte {
	if o.Lifted {
		return nil
	}
	return []byte(o.Value)
}

// Bytes is the order's value as copies have it, nil if it was lifted.
func (o Order) Bytes() []byte { return o.bytes() }
