package main

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"time"
)

// The bounds of the installation kssw-routes, and the times of this case.
const (
	catchUp  = 4 * time.Second
	recovery = 12 * time.Second

	// downTime is how long a machine that loses its disk is down.
	downTime = time.Second

	readTime = 20 * time.Second
)

// lostSeeds replaces one of the three seeds as planned. Then the two others lose their
// disks at once, and start again with the seeds that they had. After they have had several
// times the time to catch up, two others lose their disks. What was acknowledged must
// survive, because no more than two disks were lost at once.
func lostSeeds(ctx context.Context, w *world, trouble bool) error {
	for range controllerCount {
		w.add(roleController, "")
	}

	if err := w.begin(); err != nil {
		return err
	}

	all := w.of(roleController)
	o := newOperator(w)
	routes := map[string]netip.AddrPort{desk: netip.AddrPortFrom(w.address(250), 443)}

	if err := o.put(ctx, 1, manifest(1, routes, 2)); err != nil {
		return err
	}

	if trouble {
		successor := w.add(roleController, "")
		if err := w.start(successor); err != nil {
			return err
		}

		time.Sleep(catchUp + time.Second)
		w.remove(all[0])
		w.stop(all[0])
		w.record.add("%s was replaced by %s", all[0].name, successor.name)
	} else {
		time.Sleep(catchUp + time.Second)
	}

	time.Sleep(time.Second)

	if err := o.put(ctx, 2, manifest(2, routes, 3)); err != nil {
		return err
	}

	if err := w.wipe(all[1], all[2]); err != nil {
		return err
	}

	time.Sleep(3 * catchUp)

	last := manifest(3, routes, 4)
	if err := o.put(ctx, 3, last); err != nil {
		return err
	}

	// Whichever machines the platform names from now on: one of them has its disk.
	w.seeds = []netip.AddrPort{w.of(roleController)[len(w.of(roleController))-1].at(controlPort)}
	if !trouble {
		w.seeds = []netip.AddrPort{all[0].at(controlPort)}
	}

	if err := w.wipe(all[3], all[4]); err != nil {
		return err
	}

	time.Sleep(recovery)

	readCtx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()

	status, body := o.read(readCtx)
	w.record.add("read back: status %d: %.60s", status, body)

	if status != http.StatusOK || body != last {
		w.record.violate("LOST: version 3 was acknowledged; %v after the machines are back and for %v it cannot be read",
			recovery, readTime)
	}

	return nil
}

// wipe ends the processes of machines at once, deletes their disks and starts them again.
func (w *world) wipe(machines ...*machine) error {
	for _, m := range machines {
		// It may have exited already.
		_ = m.command.Process.Kill()
	}

	for _, m := range machines {
		<-m.exited

		if err := os.RemoveAll(w.disk(m)); err != nil {
			return err
		}

		w.record.add("%s lost its disk", m.name)
	}

	time.Sleep(downTime)

	for _, m := range machines {
		if err := w.start(m); err != nil {
			return err
		}
	}

	return nil
}
