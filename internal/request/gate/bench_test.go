package gate

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// BenchmarkRequest measures a request through the handler to a runner on
// loopback and back, the runner's work included.
func BenchmarkRequest(b *testing.B) {
	f := newFixture(b, 2, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("answer")) })
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		recorder := httptest.NewRecorder()
		f.handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/v1/services/quotes/x", nil))
		if recorder.Code != http.StatusOK {
			b.Fatal(recorder.Body.String())
		}
	}
}
