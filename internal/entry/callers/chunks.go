package callers

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// maxChunkLine bounds the size line of a chunk and each trailer line, in bytes.
const maxChunkLine = 4 << 10

// readChunked decodes a chunked body. The decoder of net/http reads ahead beyond the
// end of the body, which would lose the start of the next request.
func readChunked(reader *bufio.Reader, limit int64, memory memoryReserver) ([]byte, bool, error) {
	body := []byte{}
	for {
		size, err := readChunkSize(reader)
		if err != nil {
			return nil, true, err
		}
		if size == 0 {
			return body, true, skipTrailer(reader)
		}
		if int64(len(body))+size > limit {
			return nil, true, &statusError{http.StatusRequestEntityTooLarge, "body too large"}
		}
		if !memory.reserve(size) {
			return nil, true, errNoMemory
		}
		start := len(body)
		body = append(body, make([]byte, size)...)
		if _, err := io.ReadFull(reader, body[start:]); err != nil {
			return nil, true, err
		}
		if line, err := readLine(reader); err != nil || line != "" {
			return nil, true, &statusError{http.StatusBadRequest, "chunk exceeds its declared size"}
		}
	}
}

func readChunkSize(reader *bufio.Reader) (int64, error) {
	line, err := readLine(reader)
	if err != nil {
		return 0, err
	}
	digits, _, _ := strings.Cut(line, ";")
	size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
	if err != nil {
		return 0, &statusError{http.StatusBadRequest, "invalid chunk size"}
	}
	return int64(size), nil
}

func skipTrailer(reader *bufio.Reader) error {
	for {
		line, err := readLine(reader)
		if err != nil || line == "" {
			return err
		}
	}
}

// readLine reads a line that ends in CR LF and returns it without the ending.
func readLine(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return "", err
	}
	text, isWhole := strings.CutSuffix(line, "\r\n")
	if !isWhole || len(line) > maxChunkLine {
		return "", &statusError{http.StatusBadRequest, "malformed or oversized line in a chunked body"}
	}
	return text, nil
}
