package caller

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/backend"
	"github.com/redwingstall/redwingstall/pkg/common"
)

// Guards against an answer that says more than is known of a request whose response was invalid.
func TestStatusOfFailedAttempts(t *testing.T) {
	r := &Router{common: &common.Common{Metrics: metrics.NewRegistry()}}
	for reason, status := range map[string]int{
		backend.ReasonInvalidResponse: http.StatusBadGateway,
		backend.ReasonTimeout:         http.StatusGatewayTimeout,
	} {
		w := httptest.NewRecorder()
		r.writeAttemptError(w, &backend.AttemptError{Outcome: redwingstall.OutcomeUnknown, Reason: reason})
		require.Equal(t, status, w.Code)
		require.Equal(t, "unknown", w.Header().Get(redwingstall.HeaderOutcome))
		require.Empty(t, w.Header().Get("Retry-After"))
	}
}
