package consensus

import "fmt"

// raftLogger discards the log of the raft library. Fatal and Panic panic, because the library calls them on a violated invariant and no
// further step would be safe. Node.recoverPanic converts the panic to ErrRaft.
type raftLogger struct{}

func (raftLogger) Debug(...any)              {}
func (raftLogger) Debugf(string, ...any)     {}
func (raftLogger) Error(...any)              {}
func (raftLogger) Errorf(string, ...any)     {}
func (raftLogger) Info(...any)               {}
func (raftLogger) Infof(string, ...any)      {}
func (raftLogger) Warning(...any)            {}
func (raftLogger) Warningf(string, ...any)   {}
func (raftLogger) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (raftLogger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (raftLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (raftLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
