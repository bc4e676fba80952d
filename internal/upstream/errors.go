package upstream

import "errors"

var (
	// ErrEarlyResponse reports that an endpoint sent data or closed the connection before the complete request was written.
	ErrEarlyResponse = errors.New("endpoint responded or closed the connection before the complete request was written")
	// ErrResponseTooLong reports that the head or the body of a response exceeds its size limit.
	ErrResponseTooLong = errors.New("response head or body exceeds the size limit")
	// ErrTooManyInterim reports that the final response was not among the first maxResponseHeads responses to a request.
	ErrTooManyInterim = errors.New("too many interim (1xx) responses before the final response")
)

// NoDescriptorError wraps the cause, local to this process, that prevented opening a connection: no file descriptor or no local address
// was available. It says nothing about the endpoint.
type NoDescriptorError struct{ Err error }

// Error returns the message of the wrapped error.
func (e NoDescriptorError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e NoDescriptorError) Unwrap() error { return e.Err }

// NotWrittenError wraps the error that ended an exchange before the last byte of the request was written. The request was not executed.
type NotWrittenError struct{ Err error }

// Error returns the message of the wrapped error.
func (e NotWrittenError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e NotWrittenError) Unwrap() error { return e.Err }

// RequestBodyError wraps the error that ended the body of a request on the client's side. The request was not executed.
type RequestBodyError struct{ Err error }

// Error returns the message of the wrapped error.
func (e RequestBodyError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e RequestBodyError) Unwrap() error { return e.Err }
