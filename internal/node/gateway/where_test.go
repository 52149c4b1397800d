package gateway

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/internal/traffic/dispatch"
)

// Guards against questions that take the processor from requests, and against an API key in an
// error.
func TestExplanationsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		explained := atomic.Int32{}
		e := &explainer{places: make(chan struct{}, maxExplanations), explain: func(dispatch.Question, func() float64) dispatch.Explanation {
			explained.Add(1)
			return dispatch.Explanation{Verdict: dispatch.VerdictSend}
		}}
		ask := func(method, body string) *httptest.ResponseRecorder {
			w := httptest.NewRecorder()
			e.ServeHTTP(w, httptest.NewRequest(method, WherePath, strings.NewReader(body)))
			return w
		}
		const valid = `{"host":"h","path":"/x"}`
		busy := 0
		for range 100 {
			if ask(http.MethodPost, valid).Code == http.StatusServiceUnavailable {
				busy++
			}
			time.Sleep(10 * time.Millisecond)
		}
		require.LessOrEqual(t, explained.Load(), int32(maxExplanations*11), "ten intervals")
		require.Greater(t, busy, 70)
		for _, body := range []string{
			`{"apiKey":"secret`, `{"apiKey":7,"host":"secret"}`, `{"host":"h","path":"secret"}`, `{"path":"/secret"}`,
			`{"host":"h","path":"/","account":"a","apiKey":"secret"}`, strings.Repeat("secret", maxQuestionBytes),
		} {
			time.Sleep(time.Second)
			w := ask(http.MethodPost, body)
			require.Equal(t, http.StatusBadRequest, w.Code)
			require.NotContains(t, w.Body.String(), "secret")
		}
		require.Equal(t, http.StatusMethodNotAllowed, ask(http.MethodGet, "").Code)
		time.Sleep(time.Second)
	})
}

// Guards against clients that send nothing and keep others from asking.
func TestSlowQuestionsKeepNoPlace(t *testing.T) {
	e := &explainer{places: make(chan struct{}, maxExplanations), explain: func(dispatch.Question, func() float64) dispatch.Explanation {
		return dispatch.Explanation{Verdict: dispatch.VerdictSend}
	}}
	server := httptest.NewServer(e)
	defer server.Close()
	for range maxExplanations {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		_, err = c.Write([]byte("POST /where HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n{"))
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return len(e.places) == maxExplanations }, 10*time.Second, time.Millisecond)
	require.Eventually(t, func() bool {
		answer, err := http.Post(server.URL, "application/json", strings.NewReader(`{"host":"h","path":"/x"}`))
		require.NoError(t, err)
		_ = answer.Body.Close()
		return answer.StatusCode == http.StatusOK
	}, 10*time.Second, 50*time.Millisecond)
}
