package callers

import (
	"bufio"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// discardMemory reserves without a limit.
type discardMemory struct{}

func (discardMemory) reserve(int64) bool { return true }

// Guards against an API key in the log: the reason of a rejection is logged, and a parser's error
// quotes what it cannot read.
func TestRejectedHeadIsNotLogged(t *testing.T) {
	for _, head := range []string{
		"GET /x HTTP/1.1\r\nHost: h\r\nAuthorization Bearer oak-key\r\n\r\n",
		"GET /x HTTP/1.1\r\n Authorization: Bearer oak-key\r\n\r\n",
		"Authorization: Bearer oak-key\r\n\r\n",
		"Authorization:Bearer oak-key HTTP/1.1\r\n\r\n",
		"GET oak-key%zz HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /x oak-key\r\n\r\n",
		"GET /x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer oak-key\x00\r\n\r\n",
		"GET /x HTTP/1.1\r\nHost: h\r\noak-key: Bearer\x01\r\nContent-Length: oak-key\r\n\r\n",
		"GET /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: oak-key\r\n\r\n",
	} {
		_, err := readHead(bufio.NewReader(strings.NewReader(head)), 16<<10, discardMemory{})
		if err != nil {
			require.NotContains(t, err.Error(), "oak-key", head)
		}
	}
}
