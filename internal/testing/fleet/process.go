package fleet

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// logTailBytes limits how much of each log a failed test shows.
const logTailBytes = 4000

// process is one run of a subcommand.
type process struct {
	name    string
	command *exec.Cmd
	log     string
	done    chan struct{} // closed once the process has ended
	output  bytes.Buffer  // standard output, complete once the process has ended
}

// starter returns a channel of functions that run on one locked thread. Processes
// are started there because the kernel kills them when the thread that started
// them exits (Pdeathsig), and this one lives as long as the test process.
var starter = sync.OnceValue(func() chan func() {
	work := make(chan func())

	go func() {
		runtime.LockOSThread()

		for start := range work {
			start()
		}
	}()

	return work
})

// Start runs the binary of the fleet in its directory, with additional
// environment variables ("NAME=value").
func (f *Fleet) Start(name string, environment []string, arguments ...string) {
	f.t.Helper()
	f.startWith(name, environment, arguments...)
}

// start runs a subcommand in the directory of the fleet.
func (f *Fleet) start(name string, arguments ...string) *process {
	f.t.Helper()

	return f.startWith(name, nil, arguments...)
}

func (f *Fleet) startWith(name string, environment []string, arguments ...string) *process {
	f.t.Helper()

	p := &process{
		name: name,
		log:  f.path(fmt.Sprintf("%s.%d.log", name, len(f.started))),
		done: make(chan struct{}),
	}

	log, err := os.Create(p.log)
	f.check(err)

	p.command = exec.Command(f.binary, arguments...)
	p.command.Dir = f.directory
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stdout = &p.output
	p.command.Stderr = log

	// Programs that are started with additional variables log to standard output.
	if environment != nil {
		p.command.Stdout = log
	}
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

	startErr := make(chan error)
	starter() <- func() { startErr <- p.command.Start() }

	f.check(<-startErr)
	f.check(log.Close())

	go func() {
		defer close(p.done)

		_ = p.command.Wait() // the exit status is in ProcessState
	}()

	f.started = append(f.started, p)
	f.processes[name] = p

	return p
}

func (p *process) signal(signal syscall.Signal) {
	select {
	case <-p.done: // the process ID may have been reused
	default:
		_ = p.command.Process.Signal(signal) // fails only if the process has ended
	}
}

// end kills the process, even if it is stopped by a signal.
func (p *process) end() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// PID returns the process ID of an instance.
func (f *Fleet) PID(name string) int { return f.processes[name].command.Process.Pid }

// Directory returns the directory of the fleet, which is removed at the end of
// the test.
func (f *Fleet) Directory() string { return f.directory }

// Signal sends a signal to an instance.
func (f *Fleet) Signal(name string, signal syscall.Signal) { f.processes[name].signal(signal) }

// Kill kills an instance and waits until it has ended.
func (f *Fleet) Kill(name string) { f.processes[name].end() }

// Terminate sends SIGTERM to an instance and waits until it has ended.
func (f *Fleet) Terminate(name string) {
	f.t.Helper()

	p := f.processes[name]
	p.signal(syscall.SIGTERM)

	select {
	case <-p.done:
	case <-time.After(Patience):
		f.t.Fatalf("%s did not stop within %s", name, Patience)
	}
}

// showLogs logs the end of each log.
func (f *Fleet) showLogs() {
	for _, p := range f.started {
		log, err := os.ReadFile(p.log)
		if err == nil && len(log) > 0 {
			f.t.Logf("%s:\n%s", p.log, log[max(0, len(log)-logTailBytes):])
		}
	}
}
