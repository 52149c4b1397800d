// Package wire implements the JSON-over-HTTP calls and responses that the clients
// and servers of the platform and of backend servers share.
package wire

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/wire/http1"
)

// MaxResponseBytes bounds the body of any response. The largest lists all records of the
// store.
const MaxResponseBytes = 64 << 20

// StatusError is a response with a status other than 200 OK.
type StatusError struct {
	Code int
	Body []byte
}

// Error returns the status code and the response body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Code, bytes.TrimSpace(e.Body))
}

// PostJSON posts a value as JSON and decodes the JSON response. The error is marked
// with [redwingstall.ErrUnavailable] if no complete response arrives or its status
// is 500 or above. Any other status than 200 returns a [*StatusError].
func PostJSON[Req, Res any](ctx context.Context, client *http.Client, url string, request Req) (Res, error) {
	return PostJSONWithin[Req, Res](ctx, client, url, MaxResponseBytes, request)
}

// PostJSONWithin is PostJSON for responses of at most limit bytes. A longer one counts as no
// complete response.
func PostJSONWithin[Req, Res any](ctx context.Context, client *http.Client, url string, limit int64, request Req) (Res, error) {
	var result Res
	body, err := json.Marshal(request)
	if err != nil {
		return result, errors.Wrap(err, "encode")
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return result, errors.Wrap(err, "request")
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	response, err := client.Do(httpRequest)
	if err != nil {
		return result, errors.Mark(errors.Wrap(err, "call"), redwingstall.ErrUnavailable)
	}
	defer response.Body.Close()
	responseBody, err := http1.ReadBody(response.Body, limit)
	if err != nil {
		return result, errors.Mark(errors.Wrap(err, "answer"), redwingstall.ErrUnavailable)
	}
	return decodeResponse[Res](response.StatusCode, responseBody)
}

func decodeResponse[Res any](code int, body []byte) (Res, error) {
	var result Res
	if code >= http.StatusInternalServerError {
		return result, errors.Mark(&StatusError{code, body}, redwingstall.ErrUnavailable)
	}
	if code != http.StatusOK {
		return result, &StatusError{code, body}
	}
	err := json.Unmarshal(body, &result)
	return result, errors.Wrap(err, "decode")
}

// WriteJSON writes a response with the given status code and a value as its JSON
// body. If the value cannot be encoded, the response is a 500 with the error text.
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

// ReadJSON decodes a request's JSON body of at most limit bytes. Fields that the
// type does not have are an error.
func ReadJSON[T any](w http.ResponseWriter, r *http.Request, limit int64) (T, error) {
	var value T
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&value)
	return value, errors.Wrap(err, "request body")
}
