// Package peer connects the entry instances with each other. Votes, records, handovers and
// reports use the Connect protocol; requests forwarded to a home instance use plain HTTP.
package peer

import (
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/peer/peerv1"
)

func recordsToWire(records []redwingstall.Record) []*peerv1.Record {
	messages := make([]*peerv1.Record, 0, len(records))
	for _, record := range records {
		messages = append(messages, &peerv1.Record{
			Name:     record.Name,
			Revision: int64(record.Revision),
			Value:    record.Value,
		})
	}
	return messages
}

func recordsFromWire(messages []*peerv1.Record) []redwingstall.Record {
	records := make([]redwingstall.Record, 0, len(messages))
	for _, record := range messages {
		records = append(records, redwingstall.Record{
			Name:     record.GetName(),
			Revision: redwingstall.Revision(record.GetRevision()),
			Value:    record.GetValue(),
		})
	}
	return records
}

func revisionsToWire(revisions map[string]redwingstall.Revision) map[string]int64 {
	values := make(map[string]int64, len(revisions))
	for name, revision := range revisions {
		values[name] = int64(revision)
	}
	return values
}

func revisionsFromWire(values map[string]int64) map[string]redwingstall.Revision {
	revisions := make(map[string]redwingstall.Revision, len(values))
	for name, revision := range values {
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

func voteFromWire(response *peerv1.ConfirmResponse) redwingstall.Vote {
	excluded := make(map[string]time.Duration, len(response.GetExcludedMillis()))
	for id, millis := range response.GetExcludedMillis() {
		excluded[id] = time.Duration(millis) * time.Millisecond
	}
	return redwingstall.Vote{
		Voter:     response.GetVoter(),
		Granted:   response.GetGranted(),
		Refusal:   response.GetRefusal(),
		Revisions: revisionsFromWire(response.GetRevisions()),
		Excluded:  excluded,
	}
}

func limitsToWire(limits []redwingstall.ServerLimit) []*peerv1.ServerLimit {
	messages := make([]*peerv1.ServerLimit, 0, len(limits))
	for _, limit := range limits {
		messages = append(messages, &peerv1.ServerLimit{Server: limit.Server, Limit: limit.Limit, Boot: limit.Boot})
	}
	return messages
}

func limitsFromWire(messages []*peerv1.ServerLimit) []redwingstall.ServerLimit {
	limits := make([]redwingstall.ServerLimit, 0, len(messages))
	for _, limit := range messages {
		limits = append(limits, redwingstall.ServerLimit{
			Server: limit.GetServer(),
			Limit:  limit.GetLimit(),
			Boot:   limit.GetBoot(),
		})
	}
	return limits
}

func reportsToWire(reports []redwingstall.ServerReport) []*peerv1.ServerReport {
	messages := make([]*peerv1.ServerReport, 0, len(reports))
	for _, report := range reports {
		messages = append(messages, &peerv1.ServerReport{
			Server:   report.Server,
			Lost:     report.Lost,
			Draining: report.Draining,
			Boot:     report.Boot,
			Shards:   loadsToWire(report.ShardLoads),
			Keys:     loadsToWire(report.KeyLoads),
		})
	}
	return messages
}

func reportsFromWire(messages []*peerv1.ServerReport) []redwingstall.ServerReport {
	reports := make([]redwingstall.ServerReport, 0, len(messages))
	for _, report := range messages {
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
	messages := make([]*peerv1.KeyLoad, 0, len(loads))
	for name, rate := range loads {
		messages = append(messages, &peerv1.KeyLoad{Name: name, RequestsPerSecond: rate})
	}
	return messages
}

func loadsFromWire(messages []*peerv1.KeyLoad) map[string]float64 {
	loads := make(map[string]float64, len(messages))
	for _, load := range messages {
		loads[load.GetName()] = load.GetRequestsPerSecond()
	}
	return loads
}
