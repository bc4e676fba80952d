package sidecar

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"sorrelrudder/internal/gateway"
)

const (
	// learnedStateFile is what each process leaves in the shared folder for the one that takes its place.
	learnedStateFile = "sorrelrudder-learnt.json"
	// maxLearnedStateAge is how old that file may be.
	maxLearnedStateAge = 5 * time.Second
)

// writeLearnedState stores what has been learned. It replaces the file whole, so that nobody reads a part of it.
func (s *Sidecar) writeLearnedState() {
	path := filepath.Join(s.cfg.SharedDir, learnedStateFile)
	if err := writeFileAtomically(path, s.ExportLearnedState()); err != nil {
		s.log.Warn("storing learned state failed", "err", err)
	}
}

// writeFileAtomically replaces the file at path by the JSON text of value.
func writeFileAtomically(path string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// readLearnedState takes over what a sibling process has learned, if it has stored that lately.
func (s *Sidecar) readLearnedState() {
	path := filepath.Join(s.cfg.SharedDir, learnedStateFile)
	info, err := os.Stat(path)
	if err != nil || time.Since(info.ModTime()) > maxLearnedStateAge {
		return
	}
	text, err := os.ReadFile(path)
	var state gateway.LearnedState
	if err == nil {
		err = json.Unmarshal(text, &state)
	}
	if err != nil {
		s.log.Warn("reading learned state failed", "err", err)
		return
	}
	s.ImportLearnedState(state)
}
