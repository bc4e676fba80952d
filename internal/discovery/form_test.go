package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"reflect"
	"slices"
	"testing"

	"sorrelrudder/policy"
)

func seq(n int64) *int64 { return &n }

func readGolden(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// TestListForm guards against a change of the keys of an endpoint list and of the names of the endpoint states.
func TestListForm(t *testing.T) {
	text := readGolden(t, "testdata/list.json")
	want := &EndpointList{Version: seq(41), Complete: true, Endpoints: []Endpoint{
		{ID: "s1", Address: "127.0.0.1:9001", Zone: "west", Cell: 4, MachineType: "large", Health: "active", Weight: 0.5, StartedMs: 1700000000001},
		{ID: "s2", Address: "127.0.0.1:9002", Zone: "east", Cell: 5, MachineType: "small", Health: "leaving", Weight: 0.25, StartedMs: 1700000000002},
	}}
	if got, err := ParseEndpointList(text); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("parse endpoint list: error %v\n got %+v\nwant %+v", err, got, want)
	}
	var list struct{ Hosts []map[string]any }
	if err := json.Unmarshal(text, &list); err != nil {
		t.Fatal(err)
	}
	keys := []string{"block", "born_ms", "class", "dial", "health", "host", "share", "site"}
	if got := slices.Sorted(maps.Keys(list.Hosts[0])); !slices.Equal(got, keys) || reflect.TypeFor[Endpoint]().NumField() != len(keys) {
		t.Errorf("keys of an entry in the example: %q, want %q, one for each field of Endpoint", got, keys)
	}
	states := map[string]policy.EndpointState{"active": policy.Ready, "leaving": policy.Draining, "left": policy.Removed}
	if !maps.Equal(endpointStates, states) {
		t.Errorf("endpoint states: got %v, want %v", endpointStates, states)
	}
}

// TestWatchForm guards against a change of the request of a watch and of its messages: the complete list, changes of one and of several
// endpoints, an empty line, and an empty list.
func TestWatchForm(t *testing.T) {
	messages := readGolden(t, "testdata/watch.txt")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	requests := make(chan string, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if q, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			requests <- q.Method + " " + q.RequestURI + " " + q.Host
			write(t, c, "HTTP/1.1 200 OK\r\n\r\n"+string(messages))
		}
	}()
	var got []*EndpointList
	err = newClient(ln.Addr().String()).Watch(context.Background(), 41, func(l *EndpointList) { got = append(got, l) })
	if !errors.Is(err, io.EOF) {
		t.Fatalf("Watch returned %v, want EOF", err)
	}
	if call, want := <-requests, "GET /v1/servers?follow=1&since=41 "+ln.Addr().String(); call != want {
		t.Errorf("request: got %s, want %s", call, want)
	}
	want := []*EndpointList{
		{Version: seq(42), Complete: true, Endpoints: []Endpoint{
			{ID: "s1", Address: "127.0.0.1:9001", Zone: "west", Cell: 4, MachineType: "large", Health: "active", Weight: 0.5, StartedMs: 1700000000001},
		}},
		{Version: seq(43), Endpoints: []Endpoint{
			{ID: "s1", Address: "127.0.0.1:9001", Zone: "west", Cell: 4, MachineType: "large", Health: "leaving", Weight: 0.5, StartedMs: 1700000000001},
		}},
		{Version: seq(44), Endpoints: []Endpoint{{ID: "s1", Health: "left"}, {ID: "s2", Address: "127.0.0.1:9002", Health: "active"}}},
		{Version: seq(45), Complete: true, Endpoints: []Endpoint{}},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("messages of the watch:\n got %+v\nwant %+v", got, want)
	}
}
