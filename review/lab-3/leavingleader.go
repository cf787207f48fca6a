package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"syscall"
	"time"
)

const (
	// deployments run at the same time, each with rounds of its own.
	deployments = 3

	// lastRound is when the last round begins at the latest, so that reads can fail for
	// recovery and readTime after it.
	lastRound = 62 * time.Second

	// successorTime is how long a successor runs before the member that it replaces stops.
	successorTime = 6 * time.Second

	// stopDelay is the time from the loss of the disks to SIGTERM.
	stopDelay = 200 * time.Millisecond
)

// leavingLeader replaces members of the core as planned. Just before one gets SIGTERM, the
// leader and one other lose their disks. What was acknowledged must survive.
func leavingLeader(ctx context.Context, w *world, trouble bool) error {
	ended := make(chan error, deployments)

	for range deployments - 1 {
		other, err := newWorld(w.record)
		if err != nil {
			return err
		}

		go func() { ended <- errors.Join(replaceMembers(ctx, other, trouble), other.end()) }()
	}

	err := replaceMembers(ctx, w, trouble)

	for range deployments - 1 {
		err = errors.Join(err, <-ended)
	}

	return err
}

func replaceMembers(ctx context.Context, w *world, trouble bool) error {
	for range controllerCount {
		w.add(roleController, "")
	}

	if err := w.begin(); err != nil {
		return err
	}

	o := newOperator(w)
	version := uint64(1)

	if err := o.put(ctx, version, coreManifest(w, version)); err != nil {
		return err
	}

	for time.Since(w.record.began) < lastRound && w.record.violations() == 0 {
		version++

		if err := replaceMember(ctx, w, o, version, trouble); err != nil {
			return err
		}
	}

	return nil
}

func coreManifest(w *world, version uint64) string {
	return manifest(version, map[string]netip.AddrPort{desk: netip.AddrPortFrom(w.address(250), 443)}, 3)
}

// replaceMember is one round.
func replaceMember(ctx context.Context, w *world, o *operator, version uint64, trouble bool) error {
	if trouble {
		if err := w.start(w.add(roleController, "")); err != nil {
			return err
		}
	}

	time.Sleep(successorTime)

	leader, err := o.leader(ctx)
	if err != nil {
		return err
	}

	var others []*machine

	for _, m := range w.of(roleController) {
		if m != leader {
			others = append(others, m)
		}
	}

	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })

	body := coreManifest(w, version)
	if err := o.put(ctx, version, body); err != nil {
		return err
	}

	if trouble {
		leaving := others[1]
		w.remove(leaving)

		time.AfterFunc(stopDelay, func() { w.signal(leaving, syscall.SIGTERM) })
	}

	// The platform names members that keep their disks as seeds.
	w.seeds = []netip.AddrPort{others[2].at(controlPort), others[3].at(controlPort)}

	if err := w.wipe(leader, others[0]); err != nil {
		return err
	}

	readCtx, cancel := context.WithTimeout(ctx, recovery+readTime)
	defer cancel()

	status, answer := o.read(readCtx)
	w.record.add("%s: read back version %d: status %d", w.network, version, status)

	if status != http.StatusOK || answer != body {
		w.record.violate("LOST: version %d was acknowledged; for %v after the machines are back it cannot be read",
			version, recovery+readTime)
	}

	return nil
}

// leader returns the controller that answers reads itself.
func (o *operator) leader(ctx context.Context) (*machine, error) {
	client := http.Client{Timeout: callTimeout, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}
	direct := operator{world: o.world, client: client}

	for ctx.Err() == nil {
		for _, m := range o.world.of(roleController) {
			url := "http://" + m.at(controlPort).String() + "/v1/Config.Get"
			if status, _ := direct.call(ctx, http.MethodGet, url, ""); status == http.StatusOK {
				return m, nil
			}
		}

		time.Sleep(50 * time.Millisecond)
	}

	return nil, fmt.Errorf("no controller answers: %w", ctx.Err())
}
