package sidecar

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"sorrelrudder/internal/gateway"
)

const (
	// learnedStateFile is the name of the file in the shared directory by which a process passes its learned state to its successor.
	learnedStateFile = "sorrelrudder-learnt.json"
	// maxLearnedStateAge is the age above which that file is ignored.
	maxLearnedStateAge = 5 * time.Second
)

// writeLearnedState stores the learned state. It replaces the file atomically, so that a reader never sees a partial one.
func (s *Sidecar) writeLearnedState() {
	path := filepath.Join(s.cfg.SharedDir, learnedStateFile)
	if err := writeFileAtomically(path, s.ExportLearnedState()); err != nil {
		s.log.Warn("storing learned state failed", "err", err)
	}
}

// writeFileAtomically replaces the file at path by the JSON encoding of value.
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

// readLearnedState imports the learned state of a sibling process. A missing, old or malformed file is not an error: the process then
// starts without learned state.
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
