package placement

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkMergeTotalReports merges the sums of all servers, as a member of a large
// failure domain does several times a second.
func BenchmarkMergeTotalReports(b *testing.B) {
	for _, servers := range []int{80, 800, 8000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			e := &Estimator{}
			reports := []Report{}
			for i := range servers {
				reports = append(reports, Report{Server: fmt.Sprintf("i-%08d", i), InFlight: 2, LatencyFactor: 1})
			}
			b.ReportAllocs()
			for b.Loop() {
				e.MergeTotalReports(time.Now(), reports)
			}
		})
	}
}
