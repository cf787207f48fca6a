package link

import "expvar"

// metrics counts, by method: calls, bytes received and bytes sent; and, for
// all clients of the process, dials, silent paths, lost peers and redirects.
var metrics = expvar.NewMap("link")

const (
	metricDials     = "dials"
	metricSilent    = "silent_paths"
	metricGone      = "peers_gone"
	metricRedirects = "redirects"
)

// count adds one call or item of a method. A server counts known methods
// only, so a peer cannot add names.
func count(method string, received, sent int) {
	if received > 0 {
		metrics.Add(method+".received_frames", 1)
		metrics.Add(method+".received_bytes", int64(received))
	}

	if sent > 0 {
		metrics.Add(method+".sent_frames", 1)
		metrics.Add(method+".sent_bytes", int64(sent))
	}
}
