// Package scenario reads a scenario of the emulator from a TOML file. Errors name the file and the key. If the file cannot be decoded, they
// also name the line. Keys that a file does not set have the values of Default; within a kind, a class or a fault they are empty or 0.
package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"sorrelrudder/internal/emulator"
)

// Duration is a non-negative time.Duration that is encoded in the format of time.ParseDuration.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err == nil && v < 0 {
		err = fmt.Errorf("invalid duration %q, must not be negative", text)
	}
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// seconds returns the duration in seconds.
func (d Duration) seconds() float64 { return time.Duration(d).Seconds() }

// File is the content of a scenario file. The fields have the meaning of the fields of emulator.Scenario.
type File struct {
	Seed                 uint64        `toml:"seed"`
	Duration             Duration      `toml:"length"`
	InstanceCount        int           `toml:"instances"`
	BackendCount         int           `toml:"servers"`
	Zones                []string      `toml:"zones"`
	SameZoneDelay        Duration      `toml:"near"`
	CrossZoneDelay       Duration      `toml:"far"`
	MaxQueueLength       int           `toml:"room"`
	MaxConnections       int           `toml:"most_connections"`
	LoadReportAge        Duration      `toml:"report_lag"`
	SlowStartMinCapacity float64       `toml:"cold_from"`
	SlowStartDuration    Duration      `toml:"cold_for"`
	Clients              Clients       `toml:"clients"`
	Discovery            Discovery     `toml:"discovery"`
	MachineTypes         []MachineType `toml:"kinds"`
	Classes              []Class       `toml:"classes"`
	Faults               []Fault       `toml:"faults"`
}

// Clients describes the behavior of the clients.
type Clients struct {
	RequestsPerSecond float64  `toml:"rate"`
	MaxRetries        int      `toml:"retries"`
	RetryDelay        Duration `toml:"pause"`
	HonorRetryAfter   bool     `toml:"heed_retry_after"`
}

// Discovery describes the capacity and the notification delay of the discovery service.
type Discovery struct {
	WatchesPerSecond  float64  `toml:"calls"`
	NotificationDelay Duration `toml:"notice"`
}

// MachineType is a type of machine that backends run on.
type MachineType struct {
	Name     string  `toml:"name"`
	Fraction float64 `toml:"share"`
	Cores    int     `toml:"cores"`
	Speed    float64 `toml:"speed"`
}

// Class is a class of requests.
type Class struct {
	Name               string   `toml:"name"`
	Idempotency        string   `toml:"effect"`
	DedupScope         string   `toml:"repeats_dropped_by"`
	DedupWindow        Duration `toml:"repeats_dropped_for"`
	LatencyObjective   Duration `toml:"aim"`
	Deadline           Duration `toml:"deadline"`
	PriorityWeight     float64  `toml:"worth"`
	LateWeightFraction float64  `toml:"late_worth"`
	Fraction           float64  `toml:"share"`
	MeanWork           Duration `toml:"work"`
	WorkVariation      float64  `toml:"work_cv"`
}

// Fault is a fault, or another change of the fleet, at a scheduled time. The kind determines which of the other fields apply.
type Fault struct {
	At       Duration `toml:"at"`
	Kind     string   `toml:"kind"`
	Zone     string   `toml:"zone"`
	Backends int      `toml:"servers"`
	Fraction float64  `toml:"share"`
	Duration Duration `toml:"over"`
}

// Default returns the content of an empty file: a fleet of medium size without faults.
func Default() File {
	ms := func(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }
	return File{
		Seed:                 1,
		Duration:             ms(20000),
		InstanceCount:        20,
		BackendCount:         16,
		Zones:                []string{"a", "b"},
		SameZoneDelay:        Duration(500 * time.Microsecond),
		CrossZoneDelay:       ms(7),
		MaxQueueLength:       300,
		MaxConnections:       400,
		LoadReportAge:        ms(150),
		SlowStartMinCapacity: 0.35,
		SlowStartDuration:    ms(8000),
		Clients:              Clients{RequestsPerSecond: 350, MaxRetries: 3, RetryDelay: ms(20), HonorRetryAfter: true},
		Discovery:            Discovery{WatchesPerSecond: 60, NotificationDelay: ms(1500)},
	}
}

// LoadScaled reads a scenario file and multiplies the numbers of instances and backends, the rates of requests and watch requests, and the
// number of backends in each fault by factor.
func LoadScaled(path string, factor float64) (emulator.Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return emulator.Scenario{}, err
	}
	return parse(path, text, factor)
}

// Parse parses the text of a scenario file. Errors refer to the file by name.
func Parse(name string, text []byte) (emulator.Scenario, error) { return parse(name, text, 1) }

func parse(name string, text []byte, factor float64) (emulator.Scenario, error) {
	file := Default()
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		return emulator.Scenario{}, locate(name, err)
	}
	if factor != 1 {
		file.scale(factor)
	}
	scenario, err := file.Scenario()
	if err != nil {
		return emulator.Scenario{}, fmt.Errorf("%s: %w", name, err)
	}
	return scenario, nil
}

// scale multiplies the size of the fleet, its load and the number of backends in each fault by factor.
func (f *File) scale(factor float64) {
	scaled := func(n int) int { return int(math.Round(float64(n) * factor)) }
	f.InstanceCount = scaled(f.InstanceCount)
	f.BackendCount = scaled(f.BackendCount)
	f.Clients.RequestsPerSecond *= factor
	f.Discovery.WatchesPerSecond *= factor
	for i := range f.Faults {
		f.Faults[i].Backends = scaled(f.Faults[i].Backends)
	}
}

// locate adds the name of the file, the line and the key to an error of the decoder.
func locate(name string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		var located []error
		for _, e := range unknown.Errors {
			line, _ := e.Position()
			located = append(located, fmt.Errorf("%s:%d: %s: unknown key", name, line, strings.Join(e.Key(), ".")))
		}
		return errors.Join(located...)
	}
	var invalid *toml.DecodeError
	if errors.As(err, &invalid) {
		line, _ := invalid.Position()
		return fmt.Errorf("%s:%d: %s: %w", name, line, strings.Join(invalid.Key(), "."), err)
	}
	return fmt.Errorf("%s: %w", name, err)
}
