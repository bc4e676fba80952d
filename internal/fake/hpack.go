package fake

import (
	"bytes"

	"golang.org/x/net/http2/hpack"
)

// EncodeRequestHeaders returns the HPACK header block of an HTTP/2 request without a body. The block does not use the dynamic
// table, so that it is valid at any point of a connection.
func EncodeRequestHeaders(method, host, path, id string) []byte {
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	encoder.SetMaxDynamicTableSizeLimit(0)
	fields := []hpack.HeaderField{
		{Name: ":method", Value: method},
		{Name: ":scheme", Value: "https"},
		{Name: ":authority", Value: host},
		{Name: ":path", Value: path},
		{Name: "x-request-id", Value: id},
	}
	for _, field := range fields {
		field.Sensitive = true // never indexed
		encoder.WriteField(field)
	}
	return block.Bytes()
}
