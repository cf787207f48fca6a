package sidecar

import (
	"errors"

	"jayspindle/internal/transport/frag"
	"jayspindle/internal/transport/socket"
)

func (s *Sidecar) listen() error {
	var err error
	if s.data, err = socket.Listen(s.settings.Data, s.logger); err != nil {
		return err
	}

	if s.outbound, err = socket.Listen(s.settings.Outbound, s.logger); err != nil {
		return err
	}

	s.control, err = frag.Listen(s.settings.ControlAddress, s.logger)

	return err
}

func (s *Sidecar) close() error {
	var err error
	if s.data != nil {
		err = s.data.Close()
	}

	if s.outbound != nil {
		err = errors.Join(err, s.outbound.Close())
	}

	if s.control != nil {
		err = errors.Join(err, s.control.Close())
	}

	return err
}
