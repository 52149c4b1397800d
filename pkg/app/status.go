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

// printStatus prints the state of the cluster, as an instance sees it, as text.
func printStatus(w io.Writer, status control.Status) {
	fmt.Fprintf(w, "instance %s in %s: %s, store %s, configuration revision %d\n\n",
		status.Instance, status.FailureDomain, choose(status.Ready, "ready", "not ready"),
		choose(status.StoreHealthy, "up", "down"), status.ConfigRevision)
	rows := [][]any{{"INSTANCE", "FAILURE DOMAIN", "STATE", "CONFIGURATION"}}
	for _, member := range status.Members {
		applied := fmt.Sprint(member.AppliedConfig)
		if member.IsConfigStale {
			applied += " (lags)"
		}
		rows = append(rows, []any{member.ID, member.FailureDomain, member.State, applied})
	}
	printTable(w, rows...)
	fmt.Fprintln(w)
	printStatusDomains(w, status)
	printStatusServices(w, status)
	printStatusPools(w, status)
	printStatusMoves(w, status)
}

// choose returns the first text if the condition is true, and else the second.
func choose(condition bool, ifTrue, ifFalse string) string {
	if condition {
		return ifTrue
	}
	return ifFalse
}

func printStatusDomains(w io.Writer, status control.Status) {
	rows := [][]any{{"FAILURE DOMAIN", "STATE"}}
	for _, name := range slices.Sorted(maps.Keys(status.FailureDomainsOut)) {
		rows = append(rows, []any{name, choose(status.FailureDomainsOut[name], "out", "in use")})
	}
	printTable(w, rows...)
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
	printTable(w, rows...)
	fmt.Fprintln(w)
}

func printStatusPools(w io.Writer, status control.Status) {
	rows := [][]any{{"HOME OF POOL", "SERVER", "STATE", "SLOTS USED", "LIMIT", "QUEUED", "LATENCY"}}
	for _, pool := range status.Pools {
		for _, server := range pool.Servers {
			rows = append(rows, []any{
				pool.Name, server.Name, choose(server.Open, "open", "shut"),
				fmt.Sprintf("%d+%d", server.InFlight, server.OthersInFlight),
				fmt.Sprintf("%.1f", server.Limit), server.Queued + pool.Queued,
				fmt.Sprintf("%.1f ms", server.LatencyMS),
			})
		}
	}
	printTable(w, rows...)
	fmt.Fprintln(w)
}

// maxPrintedMoves is the number of recent moves that are printed.
const maxPrintedMoves = 5

func printStatusMoves(w io.Writer, status control.Status) {
	rows := [][]any{{"LAST MOVES", "SERVICE", "ASSIGNED", "LOST", "LEAVING", "BALANCED"}}
	for _, move := range status.Moves[max(0, len(status.Moves)-maxPrintedMoves):] {
		rows = append(rows, []any{move.At.Format(time.TimeOnly), move.Service, move.Assigned, move.Lost, move.Leaving, move.Balanced})
	}
	printTable(w, rows...)
}
