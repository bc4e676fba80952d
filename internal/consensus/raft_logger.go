package consensus

import "fmt"

// raftLogger discards the log of the raft library. Fatal and Panic panic, because the library calls them on a violated invariant and no
// further step would be safe. Node.recoverPanic converts the panic to ErrRaft.
type raftLogger struct{}

// Debug implements raft.Logger. It discards the message.
func (raftLogger) Debug(...any) {}

// Debugf implements raft.Logger. It discards the message.
func (raftLogger) Debugf(string, ...any) {}

// Error implements raft.Logger. It discards the message.
func (raftLogger) Error(...any) {}

// Errorf implements raft.Logger. It discards the message.
func (raftLogger) Errorf(string, ...any) {}

// Info implements raft.Logger. It discards the message.
func (raftLogger) Info(...any) {}

// Infof implements raft.Logger. It discards the message.
func (raftLogger) Infof(string, ...any) {}

// Warning implements raft.Logger. It discards the message.
func (raftLogger) Warning(...any) {}

// Warningf implements raft.Logger. It discards the message.
func (raftLogger) Warningf(string, ...any) {}

// Fatal implements raft.Logger. It panics with the message.
func (raftLogger) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

// Fatalf implements raft.Logger. It panics with the message.
func (raftLogger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

// Panic implements raft.Logger. It panics with the message.
func (raftLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }

// Panicf implements raft.Logger. It panics with the message.
func (raftLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
