package e2e

import (
	"context"
	"fmt"

	"sorrelrudder/internal/fake"
)

// startFarm starts a program with one pool of three backends, which it gets from discovery. sections are placed at the beginning of its
// configuration.
func (e *Env) startFarm(ctx context.Context, recorder *fake.EffectRecorder, sections string) (*Program, []*fake.Backend, *fake.Discovery, error) {
	backends, err := e.startBackends("box", 3, recorder, nil)
	if err != nil {
		return nil, nil, nil, err
	}
	discovery, err := e.startDiscovery(recorder, backends)
	if err != nil {
		return nil, nil, nil, err
	}
	program, err := e.Start(ctx, fmt.Sprintf("%s[[listeners]]\nname = \"farm\"\naddress = \"127.0.0.1:0\"\n\n[pools.farm]\ndiscovery = %q\n\n%s",
		sections, discovery.Addr(), classesTOML("farm")), 1)
	return program, backends, discovery, err
}
