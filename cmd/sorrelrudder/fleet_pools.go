package main

import (
	"sorrelrudder/internal/fleet"
	"sorrelrudder/internal/gateway"
)

// fleet.Host finds out by a type assertion at run time that the gateway implements fleet.Pools. This line checks it at compile time.
var _ fleet.Pools = (*gateway.Gateway)(nil)
