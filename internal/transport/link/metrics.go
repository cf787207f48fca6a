package link

import "expvar"

// metrics counts the frames and bytes received and sent by method, and the dials,
// paths that timed out (KindPathTimeout), lost peers (KindConnectionLost) and
// redirects of all clients of the process.
var metrics = expvar.NewMap("link")

const (
	metricDials     = "dials"
	metricSilent    = "silent_paths"
	metricGone      = "peers_gone"
	metricRedirects = "redirects"
)

// countFrame counts one frame received or sent for a method. A server counts
// registered methods only, so that a peer cannot add names to the metrics.
func countFrame(method string, received, sent int) {
	if received > 0 {
		metrics.Add(method+".received_frames", 1)
		metrics.Add(method+".received_bytes", int64(received))
	}

	if sent > 0 {
		metrics.Add(method+".sent_frames", 1)
		metrics.Add(method+".sent_bytes", int64(sent))
	}
}
