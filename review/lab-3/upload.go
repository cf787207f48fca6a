package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"time"
)

const (
	// uploadRoutes is the size of the manifest, and uploadRate in bytes a second that of the
	// operator's link: an upload takes about 1.2 s.
	uploadRoutes = 1400
	uploadRate   = 250 << 10

	uploadPatience = 8 * time.Second
	freezeAfter    = 500 * time.Millisecond
	freezeTime     = 3 * time.Second
	uploads        = 6
)

// slowConn is a connection over a link with a limited rate.
type slowConn struct {
	net.Conn

	rate int // bytes a second
}

// Write writes the data at the rate of the link.
func (c slowConn) Write(data []byte) (int, error) {
	const pieces = 50

	size := c.rate / pieces
	written := 0

	for written < len(data) {
		piece := data[written:min(written+size, len(data))]

		count, err := c.Conn.Write(piece)
		written += count

		if err != nil {
			return written, err
		}

		time.Sleep(time.Second * time.Duration(len(piece)) / time.Duration(c.rate))
	}

	return written, nil
}

// slowUpload sends an acknowledged manifest again, while the controller that gets it
// freezes for a while. It must not be refused.
func slowUpload(ctx context.Context, w *world, trouble bool) error {
	for range controllerCount {
		w.add(roleController, "")
	}

	if err := w.begin(); err != nil {
		return err
	}

	body := manifest(7, map[string]netip.AddrPort{desk: netip.AddrPortFrom(w.address(250), 443)}, uploadRoutes)
	o := newOperator(w)
	o.client = http.Client{Timeout: uploadPatience, Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)

			return slowConn{Conn: conn, rate: uploadRate}, err
		},
	}}

	if err := o.put(ctx, 7, body); err != nil {
		return err
	}

	w.record.add("the manifest has %d bytes", len(body))

	for number, m := range w.of(roleController) {
		if trouble {
			time.AfterFunc(freezeAfter, func() {
				w.signal(m, syscall.SIGSTOP)
				time.Sleep(freezeTime)
				w.signal(m, syscall.SIGCONT)
			})
		}

		started := time.Now()
		status, answer := o.call(ctx, http.MethodPost, "http://"+m.at(controlPort).String()+"/v1/Config.Put", body)
		w.record.add("upload %d: version 7 again to %s: status %d after %v: %s",
			number, m.name, status, time.Since(started).Round(time.Millisecond), strings.TrimSpace(answer))

		if status >= 400 && status < 500 {
			w.record.violate("CONFIG: version 7 was acknowledged, was sent again with no other change since, "+
				"and was refused with %d", status)
		}

		time.Sleep(time.Second)
	}

	return nil
}

// versionZero sends a first manifest with version 0 and reads it back.
func versionZero(ctx context.Context, w *world, trouble bool) error {
	for range controllerCount {
		w.add(roleController, "")
	}

	if err := w.begin(); err != nil {
		return err
	}

	version := uint64(0)
	if !trouble {
		version = 1
	}

	body := manifest(version, map[string]netip.AddrPort{desk: netip.AddrPortFrom(w.address(250), 443)}, 2)
	o := newOperator(w)

	if err := o.put(ctx, version, body); err != nil {
		return err
	}

	time.Sleep(6 * time.Second)

	status, answer := o.read(ctx)
	w.record.add("read back: status %d: %.200s", status, answer)

	if status != http.StatusOK || answer != body {
		w.record.violate("CONFIG: version %d was acknowledged and cannot be read back: status %d", version, status)
	}

	return nil
}
