// Package wire holds the JSON-over-HTTP calls that the clients of the platform
// and of backend servers share.
package wire

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
)

// MaxResponseBytes bounds the answer to a call.
const MaxResponseBytes = 64 << 20

// StatusError is an answer other than 200.
type StatusError struct {
	Code int
	Body []byte
}

// Error names the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Code, bytes.TrimSpace(e.Body))
}

// PostJSON posts a value as JSON and decodes the answer. No answer is marked with
// [redwingstall.ErrUnavailable].
func PostJSON[Req, Res any](ctx context.Context, client *http.Client, url string, request Req) (Res, error) {
	var response Res
	body, err := json.Marshal(request)
	if err != nil {
		return response, errors.Wrap(err, "encode")
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return response, errors.Wrap(err, "request")
	}
	call.Header.Set("Content-Type", "application/json")
	answer, err := client.Do(call)
	if err != nil {
		return response, errors.Mark(errors.Wrap(err, "call"), redwingstall.ErrUnavailable)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, MaxResponseBytes))
	if err != nil {
		return response, errors.Mark(errors.Wrap(err, "answer"), redwingstall.ErrUnavailable)
	}
	return decode[Res](answer.StatusCode, text)
}

func decode[Res any](code int, text []byte) (Res, error) {
	var response Res
	if code >= http.StatusInternalServerError {
		return response, errors.Mark(&StatusError{code, text}, redwingstall.ErrUnavailable)
	}
	if code != http.StatusOK {
		return response, &StatusError{code, text}
	}
	err := json.Unmarshal(text, &response)
	return response, errors.Wrap(err, "decode")
}

// WriteJSON answers a request with a value as JSON.
func WriteJSON[T any](w http.ResponseWriter, code int, value T) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(append(body, '\n'))
}

// ReadJSON decodes a request's JSON body of at most the size given. It refuses
// fields that the type does not have.
func ReadJSON[T any](w http.ResponseWriter, r *http.Request, limit int64) (T, error) {
	var value T
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&value)
	return value, errors.Wrap(err, "request body")
}
