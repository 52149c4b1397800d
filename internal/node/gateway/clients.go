package gateway

import (
	"time"

	"github.com/redwingstall/redwingstall/internal/node/settings"
)

const (
	// clientDescriptors and serverDescriptors are the parts of the descriptors for the connections
	// of clients and for those of requests to servers, as divisors. The last quarter is for
	// orders, the store, other instances, operators and files.
	clientDescriptors = 2
	serverDescriptors = 4
	// bytesPerClient is the memory for each client connection from which the bound of their number
	// is derived. One takes 25 KB of the process and, if its client neither reads nor waits, 64 KB
	// received and 16 KB unsent of the kernel, and its part of the requests and responses.
	bytesPerClient = 256 << 10
	// minClients is the least bound of client connections.
	minClients = 16
	// adminConnections bounds the connections of each address for operators.
	adminConnections = 16
)

// maxClients returns the bound of client connections, or 0 for none.
func maxClients(node settings.Node) int {
	bounds := []int{node.MaxClientConnections, node.MaxDescriptors / clientDescriptors}
	if node.MaxClientConnections == 0 {
		bounds = append(bounds, int(node.MemoryBytes/bytesPerClient))
	}
	least := 0
	for _, bound := range bounds {
		if bound > 0 && (least == 0 || bound < least) {
			least = bound
		}
	}
	if least == 0 {
		return 0
	}
	return max(least, minClients)
}

// maxServerConnections returns the bound of connections for requests to servers, or 0 for none.
func maxServerConnections(node settings.Node) int { return node.MaxDescriptors / serverDescriptors }

// clientReportInterval is the least time between two log lines about client connections that were
// closed for others.
const clientReportInterval = 10 * time.Second

// clientReport reports which client holds the most.
type clientReport struct {
	loggedAt time.Time
	// evicted is the number of closed connections at that time.
	evicted int64
}

// reportClients sets the metrics of client connections. It logs which client holds the most if
// connections were closed for others.
func (g *Gateway) reportClients(now time.Time, last *clientReport) {
	open, waiting, evicted := g.callers.Counts()
	largest := g.callers.Largest(now)
	g.metrics.Set("clients.open", int64(open))
	g.metrics.Set("clients.waitedFor", int64(waiting))
	g.metrics.Set("clients.largest.bytes", largest.Bytes)
	g.metrics.Set("clients.largest.stalledMillis", largest.Stalled.Milliseconds())
	if evicted == last.evicted || now.Sub(last.loggedAt) < clientReportInterval {
		return
	}
	g.log.Warn("client connections closed for others", "closed", evicted-last.evicted, "open", open, "limit", maxClients(g.node),
		"waitedFor", waiting, "largestClient", largest.Client, "largestBytes", largest.Bytes, "largestStalledMillis", largest.Stalled.Milliseconds())
	last.loggedAt, last.evicted = now, evicted
}
