package app

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/redwingstall/redwingstall/pkg/control"
)

// printStatus renders what an instance knows for a terminal.
func printStatus(w io.Writer, status control.Status) {
	fmt.Fprintf(w, "instance %s in %s: %s, store %s, configuration revision %d\n\n",
		status.Instance, status.FailureDomain, word(status.Ready, "ready", "not ready"),
		word(status.StoreHealthy, "up", "down"), status.ConfigRevision)
	rows := [][]any{{"INSTANCE", "FAILURE DOMAIN", "STATE", "CONFIGURATION"}}
	for _, member := range status.Members {
		applied := fmt.Sprint(member.AppliedConfig)
		if member.IsConfigStale {
			applied += " (lags)"
		}
		rows = append(rows, []any{member.ID, member.FailureDomain, member.State, applied})
	}
	table(w, rows...)
	fmt.Fprintln(w)
	printStatusDomains(w, status)
	printStatusServices(w, status)
	printStatusPools(w, status)
	printStatusMoves(w, status)
}

func word(is bool, yes, no string) string {
	if is {
		return yes
	}
	return no
}

func printStatusDomains(w io.Writer, status control.Status) {
	rows := [][]any{{"FAILURE DOMAIN", "STATE"}}
	for _, name := range slices.Sorted(maps.Keys(status.FailureDomainsOut)) {
		rows = append(rows, []any{name, word(status.FailureDomainsOut[name], "out", "in use")})
	}
	table(w, rows...)
	fmt.Fprintln(w)
}

func printStatusServices(w io.Writer, status control.Status) {
	rows := [][]any{{"KEYED SERVICE", "REVISION", "SHARDS", "HOT KEYS"}}
	for _, service := range status.Services {
		shards := []string{}
		for _, state := range slices.Sorted(maps.Keys(service.Shards)) {
			shards = append(shards, fmt.Sprintf("%d %s", service.Shards[state], state))
		}
		rows = append(rows, []any{service.Name, service.Revision, strings.Join(shards, ", "), service.HotKeys})
	}
	table(w, rows...)
	fmt.Fprintln(w)
}

func printStatusPools(w io.Writer, status control.Status) {
	rows := [][]any{{"HOME OF POOL", "SERVER", "STATE", "SLOTS USED", "LIMIT", "QUEUED", "LATENCY"}}
	for _, pool := range status.Pools {
		for _, server := range pool.Servers {
			rows = append(rows, []any{
				pool.Name, server.Name, word(server.Open, "open", "shut"),
				fmt.Sprintf("%d+%d", server.InFlight, server.OthersInFlight),
				fmt.Sprintf("%.1f", server.Limit), server.Queued + pool.Queued,
				fmt.Sprintf("%.1f ms", server.LatencyMS),
			})
		}
	}
	table(w, rows...)
	fmt.Fprintln(w)
}

const shownMoves = 5

func printStatusMoves(w io.Writer, status control.Status) {
	rows := [][]any{{"LAST MOVES", "SERVICE", "ASSIGNED", "LOST", "LEAVING", "BALANCED"}}
	for _, move := range status.Moves[max(0, len(status.Moves)-shownMoves):] {
		rows = append(rows, []any{move.At.Format(time.TimeOnly), move.Service, move.Assigned, move.Lost, move.Leaving, move.Balanced})
	}
	table(w, rows...)
}
