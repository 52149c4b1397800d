//go:build review

package main

import (
	"bytes"
	"io"
	"net"
)

// spoil sends bytes that are no answer: a status line and a body without a length and without
// an end, until the caller closes the connection.
func (u *upstream) spoil(c net.Conn, order string) {
	u.w.mu.Lock()
	u.repeated++
	u.answers++
	u.w.mu.Unlock()
	u.w.d.record("%s answers the release %s with bytes without end", u.id, order)
	block := bytes.Repeat([]byte("x"), 16<<10)
	sent, err := 0, error(nil)
	_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
	for err == nil {
		u.link.take(len(block))
		n := 0
		n, err = c.Write(block)
		sent += n
	}
	u.w.d.record("%s has sent %d KB until the caller closed", u.id, sent>>10)
}

// playSpoiledRelease shows what the leader makes of bytes without end in place of the answer to
// a release.
func playSpoiledRelease(d *deployment, trouble bool) (bool, error) {
	return d.playMoves(func(u *upstream) { u.spoilsReleases = trouble })
}
