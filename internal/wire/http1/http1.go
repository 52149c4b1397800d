// Package http1 bounds what HTTP/1.1 clients read of a response. A faulty peer may send a
// head or a body without end, until its caller closes the connection.
package http1

// MaxHeadBytes bounds the head of a response, for http.Transport.MaxResponseHeaderBytes. The
// default of net/http is 10 MB, which take many times that memory when they are parsed.
const MaxHeadBytes = 64 << 10
