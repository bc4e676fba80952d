package lab

import (
	"fmt"
	"strings"
	"time"

	"sorrelrudder/internal/standin"
)

// The classes of the delta's farm app, as boxes and clients know them.
var (
	deliveryOrder = standin.ClassLoad{
		Name: "delivery-order", Effect: standin.Keyed, Share: 1, Worth: 5, Body: 200,
		Aim: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond,
	}
	meterBooking = standin.ClassLoad{
		Name: "meter-booking", Effect: standin.Unsafe, Share: 1, Worth: 3, Body: 200,
		Aim: 300 * time.Millisecond, Deadline: time.Second,
	}
	allocationCheck = standin.ClassLoad{
		Name: "allocation-check", Effect: standin.Safe, Share: 1, Worth: 1,
		Aim: 150 * time.Millisecond, Deadline: 600 * time.Millisecond,
	}
	effects = map[string]standin.Effect{
		deliveryOrder.Name: standin.Keyed, meterBooking.Name: standin.Unsafe, allocationCheck.Name: standin.Safe,
	}
)

// classesTOML are all classes as the operator's file of a pool has them.
func classesTOML(pool string) string {
	var b strings.Builder
	for _, c := range []standin.ClassLoad{deliveryOrder, meterBooking, allocationCheck} {
		fmt.Fprintf(&b, "[[pools.%s.classes]]\nname = %q\neffect = %q\naim = %q\ndeadline = %q\nworth = %.1f\n",
			pool, c.Name, c.Effect, c.Aim, c.Deadline, c.Worth)
		if c.Effect == standin.Keyed {
			b.WriteString("repeats_dropped_for = \"30s\"\n")
		}
	}
	return b.String()
}

// serversTOML are boxes as the operator's file of a pool lists them.
func serversTOML(pool string, boxes []*standin.Box) string {
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
func (e *Env) boxes(pool string, n int, l *standin.Ledger, change func(*standin.BoxConfig)) ([]*standin.Box, error) {
	var all []*standin.Box
	repeats := standin.NewRepeats(time.Minute)
	for i := range n {
		cfg := standin.BoxConfig{
			Name: fmt.Sprintf("%s-%d", pool, i+1), Cores: 4, Queue: 40, Service: 12 * time.Millisecond,
			Effects: effects, Repeats: repeats, Seed: e.Seed<<8 + uint64(i), Ledger: l,
		}
		if change != nil {
			change(&cfg)
		}
		b, err := standin.StartBox(cfg)
		if err != nil {
			return nil, err
		}
		e.Defer(b.Close)
		all = append(all, b)
	}
	return all, nil
}

// discovery starts a discovery that lists the boxes.
func (e *Env) discovery(l *standin.Ledger, boxes []*standin.Box) (*standin.Discovery, error) {
	d, err := standin.StartDiscovery(l, entries(boxes)...)
	if err == nil {
		e.Defer(d.Close)
	}
	return d, err
}

func entries(boxes []*standin.Box) []standin.Entry {
	var all []standin.Entry
	for _, b := range boxes {
		all = append(all, b.Entry())
	}
	return all
}

// crowd notes what became of a crowd of clients.
func (e *Env) crowd(prefix string, c *standin.Crowd) {
	e.Measure(prefix+"operations", float64(c.Ops()))
	for _, o := range []standin.Outcome{standin.Late, standin.Refused, standin.Failed} {
		e.Measure(prefix+o.String(), float64(c.Counts[o]))
	}
	e.Measure(prefix+"p50_ms", ms(c.Percentile(0.5)))
	e.Measure(prefix+"p99_ms", ms(c.Percentile(0.99)))
}
