// Package peer speaks to the other entry instances: votes and records over
// connect, requests on their way to a home instance over plain HTTP.
package peer

import (
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/peer/peerv1"
)

func recordsToWire(records []redwingstall.Record) []*peerv1.Record {
	wired := make([]*peerv1.Record, 0, len(records))
	for _, record := range records {
		wired = append(wired, &peerv1.Record{
			Name:     record.Name,
			Revision: int64(record.Revision),
			Value:    record.Value,
		})
	}
	return wired
}

func recordsFromWire(wired []*peerv1.Record) []redwingstall.Record {
	records := make([]redwingstall.Record, 0, len(wired))
	for _, record := range wired {
		records = append(records, redwingstall.Record{
			Name:     record.GetName(),
			Revision: redwingstall.Revision(record.GetRevision()),
			Value:    record.GetValue(),
		})
	}
	return records
}

func revisionsToWire(revisions map[string]redwingstall.Revision) map[string]int64 {
	wired := make(map[string]int64, len(revisions))
	for name, revision := range revisions {
		wired[name] = int64(revision)
	}
	return wired
}

func revisionsFromWire(wired map[string]int64) map[string]redwingstall.Revision {
	revisions := make(map[string]redwingstall.Revision, len(wired))
	for name, revision := range wired {
		revisions[name] = redwingstall.Revision(revision)
	}
	return revisions
}

func voteToWire(vote redwingstall.Vote) *peerv1.ConfirmResponse {
	excluded := make(map[string]int64, len(vote.Excluded))
	for id, age := range vote.Excluded {
		excluded[id] = age.Milliseconds()
	}
	return &peerv1.ConfirmResponse{
		Granted:        vote.Granted,
		Refusal:        vote.Refusal,
		Revisions:      revisionsToWire(vote.Revisions),
		ExcludedMillis: excluded,
		Voter:          vote.Voter,
	}
}

func voteFromWire(wired *peerv1.ConfirmResponse) redwingstall.Vote {
	excluded := make(map[string]time.Duration, len(wired.GetExcludedMillis()))
	for id, millis := range wired.GetExcludedMillis() {
		excluded[id] = time.Duration(millis) * time.Millisecond
	}
	return redwingstall.Vote{
		Voter:     wired.GetVoter(),
		Granted:   wired.GetGranted(),
		Refusal:   wired.GetRefusal(),
		Revisions: revisionsFromWire(wired.GetRevisions()),
		Excluded:  excluded,
	}
}

func limitsToWire(limits []redwingstall.ServerLimit) []*peerv1.ServerLimit {
	wired := make([]*peerv1.ServerLimit, 0, len(limits))
	for _, limit := range limits {
		wired = append(wired, &peerv1.ServerLimit{Server: limit.Server, Limit: limit.Limit, Boot: limit.Boot})
	}
	return wired
}

func limitsFromWire(wired []*peerv1.ServerLimit) []redwingstall.ServerLimit {
	limits := make([]redwingstall.ServerLimit, 0, len(wired))
	for _, limit := range wired {
		limits = append(limits, redwingstall.ServerLimit{
			Server: limit.GetServer(),
			Limit:  limit.GetLimit(),
			Boot:   limit.GetBoot(),
		})
	}
	return limits
}

func reportsToWire(reports []redwingstall.ServerReport) []*peerv1.ServerReport {
	wired := make([]*peerv1.ServerReport, 0, len(reports))
	for _, report := range reports {
		wired = append(wired, &peerv1.ServerReport{
			Server:   report.Server,
			Lost:     report.Lost,
			Draining: report.Draining,
			Boot:     report.Boot,
			Shards:   loadsToWire(report.ShardLoads),
			Keys:     loadsToWire(report.KeyLoads),
		})
	}
	return wired
}

func reportsFromWire(wired []*peerv1.ServerReport) []redwingstall.ServerReport {
	reports := make([]redwingstall.ServerReport, 0, len(wired))
	for _, report := range wired {
		reports = append(reports, redwingstall.ServerReport{
			Server:     report.GetServer(),
			Lost:       report.GetLost(),
			Draining:   report.GetDraining(),
			Boot:       report.GetBoot(),
			ShardLoads: loadsFromWire(report.GetShards()),
			KeyLoads:   loadsFromWire(report.GetKeys()),
		})
	}
	return reports
}

func loadsToWire(loads map[string]float64) []*peerv1.KeyLoad {
	wired := make([]*peerv1.KeyLoad, 0, len(loads))
	for name, rate := range loads {
		wired = append(wired, &peerv1.KeyLoad{Name: name, RequestsPerSecond: rate})
	}
	return wired
}

func loadsFromWire(wired []*peerv1.KeyLoad) map[string]float64 {
	loads := make(map[string]float64, len(wired))
	for _, load := range wired {
		loads[load.GetName()] = load.GetRequestsPerSecond()
	}
	return loads
}
