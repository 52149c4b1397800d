package callers

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// maxChunkLine bounds the size line of a chunk and each trailer line, in bytes.
	maxChunkLine = 4 << 10
	// maxTrailerLines bounds the lines after the last chunk.
	maxTrailerLines = 64
)

// chunkedReader decodes a chunked body. The decoder of net/http reads ahead beyond the
// end of the body, which would lose the start of the next request.
type chunkedReader struct {
	reader *bufio.Reader
	// left is how many more bytes the body may have.
	left int64
	// chunk is what remains of the current chunk.
	chunk int64
	// hasChunk is set once a chunk was read, whose line ending comes before the next one.
	hasChunk bool
	isEnded  bool
}

// Read returns io.EOF after the trailer.
func (r *chunkedReader) Read(p []byte) (int, error) {
	if r.isEnded {
		return 0, io.EOF
	}
	if r.chunk == 0 {
		if err := r.nextChunk(); err != nil {
			return 0, err
		}
	}
	n, err := r.reader.Read(p[:min(int64(len(p)), r.chunk)])
	r.chunk -= int64(n)
	return n, asUnexpectedEOF(err)
}

// nextChunk reads up to the content of the next chunk. It returns io.EOF if there is
// none.
func (r *chunkedReader) nextChunk() error {
	if r.hasChunk {
		if line, err := readLine(r.reader); err != nil || line != "" {
			return readErrorOrMalformed(err, "chunk exceeds its declared size")
		}
	}
	r.hasChunk = true
	size, err := readChunkSize(r.reader)
	switch {
	case err != nil:
		return err
	case size > r.left:
		return &statusError{http.StatusRequestEntityTooLarge, "body too large"}
	case size > 0:
		r.chunk = size
		r.left -= size
		return nil
	}
	if err := skipTrailer(r.reader); err != nil {
		return err
	}
	r.isEnded = true
	return io.EOF
}

// readErrorOrMalformed returns a read error as it is, and otherwise the reason why the
// request is malformed.
func readErrorOrMalformed(err error, reason string) error {
	if err != nil {
		return err
	}
	return &statusError{http.StatusBadRequest, reason}
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
	for range maxTrailerLines {
		line, err := readLine(reader)
		if err != nil || line == "" {
			return err
		}
	}
	return &statusError{http.StatusBadRequest, "too many trailer lines"}
}

// readLine reads a line that ends in CR LF and returns it without the ending. It reads
// no more than maxChunkLine bytes.
func readLine(reader *bufio.Reader) (string, error) {
	line := []byte{}
	for {
		part, err := reader.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxChunkLine {
			return "", &statusError{http.StatusBadRequest, "oversized line in a chunked body"}
		}
		if err == nil {
			break
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return "", asUnexpectedEOF(err)
		}
	}
	text, isWhole := strings.CutSuffix(string(line), "\r\n")
	if !isWhole {
		return "", &statusError{http.StatusBadRequest, "line without CR LF in a chunked body"}
	}
	return text, nil
}

// asUnexpectedEOF turns the end of the connection inside a body into an error.
func asUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
