package siteheader

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	allGroups  = "all"
	zonePrefix = "zone:"
	cellPrefix = "cell:"
	// cellBits is the maximum size of a cell number, in bits.
	cellBits = 20
)

// DedupGroup identifies the servers that deduplicate a request together: all servers (the zero value), those of a zone, or those of a cell.
type DedupGroup struct {
	Zone   string
	Cell   int // in Zone, if InCell
	InCell bool
}

// String returns the encoded form of the group.
func (g DedupGroup) String() string {
	switch {
	case g.Zone == "" && !g.InCell:
		return allGroups
	case g.InCell:
		return cellPrefix + g.Zone + "/" + strconv.Itoa(g.Cell)
	}
	return zonePrefix + g.Zone
}

// parseDedupGroup is the inverse of String. The error wraps ErrMalformed.
func parseDedupGroup(text string) (DedupGroup, error) {
	if text == allGroups {
		return DedupGroup{}, nil
	}
	if zone, ok := strings.CutPrefix(text, zonePrefix); ok && zone != "" {
		return DedupGroup{Zone: zone}, nil
	}
	rest, ok := strings.CutPrefix(text, cellPrefix)
	slash := strings.LastIndexByte(rest, '/')
	if ok && slash >= 0 {
		if cell, err := strconv.ParseUint(rest[slash+1:], 10, cellBits); err == nil {
			return DedupGroup{Zone: rest[:slash], Cell: int(cell), InCell: true}, nil
		}
	}
	return DedupGroup{}, fmt.Errorf("%w: group %.80q", ErrMalformed, text)
}

// Contains reports whether a server in the given zone and cell belongs to the group.
func (g DedupGroup) Contains(zone string, cell int) bool {
	return g.Zone == "" && !g.InCell || g.Zone == zone && (!g.InCell || g.Cell == cell)
}
