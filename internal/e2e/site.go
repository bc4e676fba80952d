package e2e

import (
	"fmt"
	"strings"
	"time"

	"sorrelrudder/internal/fake"
)

// The classes of the delta's farm app, as boxes and clients know them.
var (
	deliveryOrder = fake.ClassLoad{
		Name: "delivery-order", Effect: fake.Keyed, Share: 1, Worth: 5, Body: 200,
		Aim: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond,
	}
	meterBooking = fake.ClassLoad{
		Name: "meter-booking", Effect: fake.Unsafe, Share: 1, Worth: 3, Body: 200,
		Aim: 300 * time.Millisecond, Deadline: time.Second,
	}
	allocationCheck = fake.ClassLoad{
		Name: "allocation-check", Effect: fake.Safe, Share: 1, Worth: 1,
		Aim: 150 * time.Millisecond, Deadline: 600 * time.Millisecond,
	}
	effects = map[string]fake.Effect{
		deliveryOrder.Name: fake.Keyed, meterBooking.Name: fake.Unsafe, allocationCheck.Name: fake.Safe,
	}
)

// classesTOML are all classes as the operator's file of a pool has them.
func classesTOML(pool string) string {
	var b strings.Builder
	for _, c := range []fake.ClassLoad{deliveryOrder, meterBooking, allocationCheck} {
		fmt.Fprintf(&b, "[[pools.%s.classes]]\nname = %q\neffect = %q\naim = %q\ndeadline = %q\nworth = %.1f\n",
			pool, c.Name, c.Effect, c.Aim, c.Deadline, c.Worth)
		if c.Effect == fake.Keyed {
			b.WriteString("repeats_dropped_for = \"30s\"\n")
		}
	}
	return b.String()
}

// serversTOML are boxes as the operator's file of a pool lists them.
func serversTOML(pool string, boxes []*fake.Box) string {
	var b strings.Builder
	for _, box := range boxes {
		fmt.Fprintf(&b, "[[pools.%s.servers]]\nname = %q\naddress = %q\n", pool, box.Name(), box.Addr())
		if box.Zone() != "" {
			fmt.Fprintf(&b, "zone = %q\n", box.Zone())
		}
	}
	return b.String()
}

// boxes starts n boxes whose names begin with pool, and which drop repeats together.
func (e *Env) boxes(pool string, n int, l *fake.Ledger, change func(*fake.BoxConfig)) ([]*fake.Box, error) {
	var all []*fake.Box
	repeats := fake.NewRepeats(time.Minute)
	for i := range n {
		cfg := fake.BoxConfig{
			Name: fmt.Sprintf("%s-%d", pool, i+1), Cores: 4, Queue: 40, Service: 12 * time.Millisecond,
			Effects: effects, Repeats: repeats, Seed: e.Seed<<8 + uint64(i), Ledger: l,
		}
		if change != nil {
			change(&cfg)
		}
		b, err := fake.StartBox(cfg)
		if err != nil {
			return nil, err
		}
		e.Defer(b.Close)
		all = append(all, b)
	}
	return all, nil
}

// discovery starts a discovery that lists the boxes.
func (e *Env) discovery(l *fake.Ledger, boxes []*fake.Box) (*fake.Discovery, error) {
	d, err := fake.StartDiscovery(l, entries(boxes)...)
	if err == nil {
		e.Defer(d.Close)
	}
	return d, err
}

func entries(boxes []*fake.Box) []fake.Entry {
	var all []fake.Entry
	for _, b := range boxes {
		all = append(all, b.Entry())
	}
	return all
}

// crowd notes what became of a crowd of clients.
func (e *Env) crowd(prefix string, c *fake.Crowd) {
	e.Measure(prefix+"operations", float64(c.Ops()))
	for _, o := range []fake.Outcome{fake.Late, fake.Refused, fake.Failed} {
		e.Measure(prefix+o.String(), float64(c.Counts[o]))
	}
	e.Measure(prefix+"p50_ms", ms(c.Percentile(0.5)))
	e.Measure(prefix+"p99_ms", ms(c.Percentile(0.99)))
}
