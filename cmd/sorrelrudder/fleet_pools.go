package main

import (
	"sorrelrudder/internal/fleet"
	"sorrelrudder/internal/gateway"
)

// The fleet's host takes the gateway for its pools by a type assertion at run time: this holds at compile time that it can.
var _ fleet.Pools = (*gateway.Gateway)(nil)
