package sidecar

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"

	"jayspindle/internal/transport/frag"
)

func (s *Sidecar) listen() error {
	var err error
	if s.data, err = listenUDP(s.settings.Data, s.logger); err != nil {
		return err
	}

	if s.outbound, err = listenUDP(s.settings.Outbound, s.logger); err != nil {
		return err
	}

	s.inner, err = frag.Listen(s.settings.Inner, s.logger)

	return err
}

func listenUDP(address netip.AddrPort, logger *slog.Logger) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}

	if err := conn.SetReadBuffer(receiveBuffer); err != nil {
		logger.Warn("the receive buffer keeps its default size", "error", err)
	}

	return conn, nil
}

func (s *Sidecar) close() error {
	var err error
	if s.data != nil {
		err = s.data.Close()
	}

	if s.outbound != nil {
		err = errors.Join(err, s.outbound.Close())
	}

	if s.inner != nil {
		err = errors.Join(err, s.inner.Close())
	}

	return err
}
