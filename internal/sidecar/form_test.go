package sidecar

import (
	"bytes"
	"encoding/json"
	"flag"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"syscall"
	"testing"
	"time"

	"sorrelrudder/internal/discovery"
	"sorrelrudder/internal/gateway"
	"sorrelrudder/internal/keepalive"
	"sorrelrudder/internal/pool"
	"sorrelrudder/internal/process"
	"sorrelrudder/internal/settings"
	"sorrelrudder/policy"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// fullConfig returns the decoded form of testdata/config.json.
func fullConfig() Config {
	seq := int64(41)
	return Config{
		Name: "sidecar-a", Listen: "127.0.0.1:8001", Discovery: "127.0.0.1:8002", discoveryInFile: "127.0.0.1:8002", Seed: 0xf00d,
		AdminAddress: "127.0.0.1:8003", MemoryMB: 96, MaxDescriptors: 512,
		CachedList: &discovery.EndpointList{Version: &seq, Complete: true, Endpoints: []discovery.Endpoint{{
			ID: "s1", Address: "127.0.0.1:9001", Zone: "west", Cell: 4, MachineType: "large", Health: "active", Weight: 0.5, StartedMs: 1700000000001,
		}}},
		Settings: settings.Settings{
			Config:     policy.Config{InstanceCount: 1, MaxAttempts: 3, PollInterval: 2 * time.Second},
			DrainGrace: 300 * time.Millisecond,
		},
	}
}

// TestConfigForm guards against a change of the keys of the file that GW_CONFIG names, and of the field that each environment variable
// sets.
func TestConfigForm(t *testing.T) {
	text, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var file map[string]json.RawMessage
	if err := json.Unmarshal(text, &file); err != nil {
		t.Fatal(err)
	}
	pid := uint64(os.Getpid()) << 32
	for _, c := range []struct {
		name    string
		without string // key that is removed from the file
		env     map[string]string
		change  func(*Config)
	}{
		{"file", "", nil, func(*Config) {}},
		{"no name", "name", nil, func(c *Config) { c.Name = "" }},
		{"no seed", "seed", nil, func(c *Config) { c.Seed = 0 }},
		{"no admin", "admin", nil, func(c *Config) { c.AdminAddress = "" }},
		{"no limits", "limits", nil, func(c *Config) { c.MemoryMB, c.MaxDescriptors = 128, 1024 }},
		{"no known", "known", nil, func(c *Config) { c.CachedList = nil }},
		{"GW_NAME", "name", map[string]string{"GW_NAME": "b"}, func(c *Config) { c.Name = "b" }},
		{"GW_LISTEN", "listen", map[string]string{"GW_LISTEN": "h:1"}, func(c *Config) { c.Listen = "h:1" }},
		{"GW_DISCOVERY", "", map[string]string{"GW_DISCOVERY": "h:2"}, func(c *Config) { c.Discovery = "h:2" }},
		{"GW_DISCOVERY alone", "discovery", map[string]string{"GW_DISCOVERY": "h:2"}, func(c *Config) { c.Discovery, c.discoveryInFile = "h:2", "" }},
		{"GW_ADMIN", "admin", map[string]string{"GW_ADMIN": "h:3"}, func(c *Config) { c.AdminAddress = "h:3" }},
		{"GW_FIGURES_EVERY", "", map[string]string{"GW_FIGURES_EVERY": "7s"}, func(c *Config) { c.StatsInterval = 7 * time.Second }},
		{"GW_FD", "", map[string]string{"GW_FD": "5", "TMPDIR": "/shared"}, func(c *Config) {
			c.ListenerFD, c.SharedDir, c.Seed = 5, "/shared", 0xf00d^pid
		}},
		{"TMPDIR alone", "", map[string]string{"TMPDIR": "/shared"}, func(*Config) {}},
	} {
		kept := maps.Clone(file)
		delete(kept, c.without)
		path := filepath.Join(t.TempDir(), "config.json")
		text, err := json.Marshal(kept)
		if err == nil {
			err = os.WriteFile(path, text, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
		want := fullConfig()
		c.change(&want)
		got, err := LoadConfig(func(name string) string {
			if name == "GW_CONFIG" {
				return path
			}
			return c.env[name]
		})
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("load configuration %s: error %v\n got %+v\nwant %+v", c.name, err, got, want)
		}
	}
}

// TestLearnedStateForm guards against a change of the name, encoding or decoding of the learned state file. A process writes the file for
// its successor, which may be another version.
func TestLearnedStateForm(t *testing.T) {
	if learnedStateFile != "sorrelrudder-learnt.json" {
		t.Errorf("learned state file is named %s, want sorrelrudder-learnt.json", learnedStateFile)
	}
	value := gateway.LearnedState{
		Clients: keepalive.History{
			1: {{Waited: []float64{1.5, 2.5}, Used: []float64{3, 4}}, {Waited: []float64{5.5}, Used: []float64{6}}},
			2: {{Waited: []float64{7.5}, Used: []float64{8}}},
		},
		Pools: map[string]pool.LearnedState{poolName: {
			LearnedState: policy.LearnedState{
				LatencyModel: [4]float64{0.5, 1.25, 2.75, 3.125}, HealthCheckContention: 0.625, HedgeWinRate: 0.375,
				Endpoints: map[policy.EndpointID]policy.LearnedEndpoint{
					"s1": {Started: 11 * time.Millisecond, Slowness: 1.75, SlownessSamples: 12, ResponseInterval: 13.5, EjectedFor: 14 * time.Second, ConsecutiveFailures: 15},
					"s2": {Started: -16 * time.Millisecond, Slowness: 0.875, SlownessSamples: 17, ResponseInterval: 18.5, EjectedFor: 19 * time.Second, ConsecutiveFailures: 20},
				},
				ClientTimeouts: map[string]time.Duration{"check": 21 * time.Millisecond, "order": 22 * time.Millisecond},
			},
			StartedMs: map[policy.EndpointID]int64{"s1": 1700000000001, "s2": 1700000000002},
		}},
	}
	const path = "testdata/learnt.json"
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	encoded = append(encoded, '\n')
	if *update {
		if err := os.WriteFile(path, encoded, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded, golden) {
		t.Errorf("learned state encoded as\n%swant\n%s", encoded, golden)
	}
	var decoded gateway.LearnedState
	if err := json.Unmarshal(golden, &decoded); err != nil || !reflect.DeepEqual(decoded, value) {
		t.Errorf("decode learned state: error %v\n got %+v\nwant %+v", err, decoded, value)
	}
	assertPopulated(t, reflect.ValueOf(value), "Learnt")
}

// TestSiblingGroupForm guards against a change of the files by which the processes of one sidecar detect each other. The processes may be
// of different versions. Each keeps one file with this name prefix locked.
func TestSiblingGroupForm(t *testing.T) {
	dir := t.TempDir()
	group, err := process.JoinSiblingGroup(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer group.Leave()
	files, err := filepath.Glob(filepath.Join(dir, "sorrelrudder-process-*"))
	if err != nil || len(files) != 1 {
		t.Errorf("files of this process: got %q, error %v, want one file", files, err)
	}
	other, err := os.Create(filepath.Join(dir, "sorrelrudder-process-other"))
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if err := syscall.Flock(int(other.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		t.Fatal(err)
	}
	if others, err := group.Others(); others != 1 || err != nil {
		t.Errorf("got %d other processes, error %v, want 1", others, err)
	}
}

// assertPopulated fails for each field within v that holds its zero value, since a golden file would not cover such a field.
func assertPopulated(t *testing.T, v reflect.Value, path string) {
	t.Helper()
	switch v.Kind() {
	case reflect.Struct:
		for field, value := range v.Fields() {
			assertPopulated(t, value, path+"."+field.Name)
		}
	case reflect.Slice, reflect.Array:
		for _, element := range v.Seq2() {
			assertPopulated(t, element, path+"[]")
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			assertPopulated(t, v.MapIndex(key), path+"["+key.String()+"]")
		}
	}
	if v.IsZero() {
		t.Errorf("%s is not populated, so the golden file does not cover it", path)
	}
}
