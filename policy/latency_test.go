package policy

import (
	"fmt"
	"testing"
	"time"
)

// TestRateBasedLatency guards against heaping requests on an endpoint that reports no queue, because the line of latency by queue, learned of
// fast and slow endpoints alike, is flat.
func TestRateBasedLatency(t *testing.T) {
	const ms = time.Millisecond
	b, rec := start(t, testConfig(), 4)
	s := b.readyEndpoints[0]
	s.hasReport = true
	startRequest := func(id RequestID, at Time) {
		r := &request{Request: Request{ID: id, Expires: time.Minute}, class: b.classes["safe"], finalDeadline: time.Minute}
		b.requests[id] = r
		b.startOrAwaitEndpoint(at, r, []*endpoint{s}, rec)
	}
	for id := RequestID(1); id <= 10; id++ {
		startRequest(id, 0)
	}
	for id := RequestID(1); id <= 10; id++ { // one every 20 ms
		b.HandleAttemptResult(Time(id)*20*ms, AttemptResult{ID: id, Endpoint: s.ID, Status: StatusOK, RequestEnded: true}, rec)
	}
	b.latency = latencyModel{meanLatency: float64(20 * ms), queueVariance: 1e9} // flat
	for id := RequestID(11); id <= 20; id++ {
		startRequest(id, time.Second)
	}
	if got := b.expectedLatency(time.Second, s); got < 180*ms || got > 220*ms {
		t.Errorf("behind ten others at 20ms each %v is expected, want about 200ms", got)
	}
	if s.isIdle() {
		t.Error("it counts as idle")
	}
	if got := b.expectedLatency(time.Second+500*ms, s); got < 600*ms {
		t.Errorf("after half a second without a response %v is expected", got)
	}
}

// TestSlownessIsSharedByMachineType: what responses tell of an endpoint counts for all of its machine type until those have answered
// themselves. Seen to fail with each endpoint on its own: a new one counted as average.
func TestSlownessIsSharedByMachineType(t *testing.T) {
	b, rec := start(t, testConfig(), 0)
	var list []Endpoint
	for i := range 12 {
		list = append(list, Endpoint{ID: EndpointID(fmt.Sprint("s", i)), MachineType: []string{"quick", "slow"}[i%2]})
	}
	b.UpdateEndpoints(0, UpdateFull, list[:10], rec)
	now := time.Hour
	for i := range 300 {
		now += 50 * time.Millisecond
		answer(b, rec, now, RequestID(i+1), EndpointID(fmt.Sprint("s", i%10)), time.Duration(40+120*(i%2))*time.Millisecond)
	}
	b.UpdateEndpoints(now, UpdateFull, list, rec) // s10 and s11 are new
	quick, slow := b.expectedLatency(now, b.endpoints["s10"]), b.expectedLatency(now, b.endpoints["s11"])
	if slow < 2*quick {
		t.Errorf("a new endpoint of the slow type is expected to take %v, one of the fast type %v", slow, quick)
	}
	for i := range 30 { // an odd one of its kind
		now += 50 * time.Millisecond
		answer(b, rec, now, RequestID(1000+i), "s11", 40*time.Millisecond)
	}
	if own := b.expectedLatency(now, b.endpoints["s11"]); own > slow*2/3 {
		t.Errorf("after 30 responses of its own it is still expected to take %v of %v", own, slow)
	}
}

// TestMachineTypesAreBounded guards against memory without bound where a list names a machine type for each endpoint.
func TestMachineTypesAreBounded(t *testing.T) {
	b, rec := start(t, testConfig(), 0)
	for i := range 10 * maxMachineTypes {
		id := EndpointID(fmt.Sprint("s", i))
		b.UpdateEndpoints(0, UpdateFull, []Endpoint{{ID: id, MachineType: string(id)}}, rec)
		answer(b, rec, time.Hour, RequestID(i+1), id, time.Millisecond)
	}
	if len(b.machineTypes) > maxMachineTypes {
		t.Errorf("%d machine types are kept", len(b.machineTypes))
	}
}
