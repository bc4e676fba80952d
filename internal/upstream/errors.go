package upstream

import "errors"

var (
	// ErrEarlyResponse is that an endpoint has sent something before the last byte of a request was written.
	ErrEarlyResponse = errors.New("the server answers before the request is whole")
	// ErrResponseTooLong is that the head or the body of a response exceeds its bound.
	ErrResponseTooLong = errors.New("the answer is too long")
	// ErrTooManyInterim is that more interim responses (1xx) have come than are read.
	ErrTooManyInterim = errors.New("too many interim answers")
)

// NoDescriptorError wraps what kept this process from opening a connection at all. It is no evidence against the endpoint.
type NoDescriptorError struct{ Err error }

func (e NoDescriptorError) Error() string { return e.Err.Error() }

// Unwrap returns what it wraps.
func (e NoDescriptorError) Unwrap() error { return e.Err }

// NotWrittenError wraps what broke an exchange off before the last byte of the request was written: it was not executed.
type NotWrittenError struct{ Err error }

func (e NotWrittenError) Error() string { return e.Err.Error() }

// Unwrap returns what it wraps.
func (e NotWrittenError) Unwrap() error { return e.Err }

// RequestBodyError wraps what broke off the body of a request on the client's side. The request was not executed.
type RequestBodyError struct{ Err error }

func (e RequestBodyError) Error() string { return e.Err.Error() }

// Unwrap returns what it wraps.
func (e RequestBodyError) Unwrap() error { return e.Err }
