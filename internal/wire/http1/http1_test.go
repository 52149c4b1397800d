package http1_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/internal/wire/http1"
)

// Guards against the start of a body that counts as the whole one.
func TestReadBodyReturnsWholeBodiesOnly(t *testing.T) {
	body, err := http1.ReadBody(strings.NewReader("12345"), 5)
	require.NoError(t, err)
	require.Equal(t, "12345", string(body))

	_, err = http1.ReadBody(strings.NewReader("123456"), 5)
	require.True(t, errors.Is(err, http1.ErrTooLong), "%v", err)

	broken := io.MultiReader(strings.NewReader("123"), iotest.ErrReader(io.ErrUnexpectedEOF))
	_, err = http1.ReadBody(broken, 5)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
