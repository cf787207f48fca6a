package main

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["garbage"] = garbage
	cases["frozen-stop"] = frozenStop
}

// udpPorts are the ports at which the process of each role listens.
var udpPorts = map[string][]port{
	"balancer":   {portData, portInner},
	"agent":      {portData, portInner, portOutbound},
	"controller": {portInner},
}

// garbage sends bytes that can't be read to every UDP port of every process, and fails if
// a process ends. It sends packets that backends must take for forged, so that only the
// ends of processes are judged.
func garbage(w *world) {
	w.deploy(2, 2)

	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(w.ip(240), 0)))
	w.must(err)

	var clients sync.WaitGroup

	ending := time.Now().Add(40 * time.Second)

	for i := range 6 {
		c := w.newClient(i)

		clients.Go(func() { c.useFlows(ending, 120*time.Millisecond) })
	}

	for time.Now().Before(ending) {
		for _, m := range w.machines {
			raw := make([]byte, rand.IntN(1400))
			for i := range raw {
				raw[i] = byte(rand.Uint32())
			}

			switch rand.IntN(4) {
			case 0:
				raw = build(netip.AddrPortFrom(w.ip(241), uint16(rand.Uint32())), w.route(rand.IntN(3)), byte(rand.Uint32()),
					rand.Uint32(), rand.Uint32(), raw[:min(len(raw), 1200)])
			case 1:
				raw = append([]byte{0, byte(rand.IntN(21))}, raw...)
			}

			for _, p := range udpPorts[m.role] {
				_, _ = conn.WriteToUDPAddrPort(raw, m.at(p))
			}
		}

		time.Sleep(time.Millisecond)
	}

	clients.Wait()
	w.forgive()

	for _, m := range w.machines {
		select {
		case <-m.exited:
			w.violate("Fault: %s ended by itself", m.name)
		default:
		}
	}
}

// frozenStop sends SIGTERM to an agent that is frozen, three times.
func frozenStop(w *world) {
	w.deploy(2, 3)

	var clients sync.WaitGroup

	ending := time.Now().Add(30 * time.Second)

	for i := range 12 {
		c := w.newClient(i)

		clients.Go(func() { c.useFlows(ending, 7*time.Second) })
	}

	for range 3 {
		time.Sleep(3 * time.Second)

		side := w.of("agent")[0]
		side.signal(syscall.SIGSTOP)
		time.Sleep(3400 * time.Millisecond)
		side.signal(syscall.SIGTERM)
		time.Sleep(100 * time.Millisecond)
		side.signal(syscall.SIGCONT)
		<-side.exited
		time.Sleep(500 * time.Millisecond)
		w.start(side)
	}

	clients.Wait()
}
