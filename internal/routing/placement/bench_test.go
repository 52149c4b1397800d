package placement

import (
	"fmt"
	"testing"
	"time"
)

// reportMap is a table with all reports.
type reportMap map[string]Report

func (m reportMap) Find(server string) (Report, bool) {
	r, found := m[server]
	return r, found
}

// BenchmarkEstimateAfterTotals merges the sums of all servers and estimates a dozen of
// them, as a member of a large failure domain does several times a second.
func BenchmarkEstimateAfterTotals(b *testing.B) {
	for _, servers := range []int{80, 800, 8000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			e := &Estimator{}
			reports := reportMap{}
			for i := range servers {
				id := fmt.Sprintf("i-%08d", i)
				reports[id] = Report{Server: id, InFlight: 2, LatencyFactor: 1}
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				e.MergeTotalReports(time.Now(), reports)
				for i := range 12 {
					e.Estimate(time.Now(), "r", Candidate{ID: fmt.Sprintf("i-%08d", (n+i)%servers), Slots: 4})
				}
			}
		})
	}
}
