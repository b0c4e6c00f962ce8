package entry

import (
	"log/slog"
	"reflect"
	"time"
)

// settingsEvery is how often the settings file is looked at without a signal.
const settingsEvery = 5 * time.Second

// Reloader follows the settings file. Limits of the process are applied at once; what the duties were
// started with holds until the next start, and a file with a mistake changes nothing.
type Reloader struct {
	load func() (Settings, error)
	// apply sets the limits of the process: cores and memory.
	apply   func(Settings)
	log     *slog.Logger
	current Settings
	bad     string // the last mistake, told once
}

// NewReloader returns a reloader of a process that runs with the settings s.
func NewReloader(s Settings, load func() (Settings, error), apply func(Settings), log *slog.Logger) *Reloader {
	return &Reloader{load: load, apply: apply, log: log, current: s}
}

// Run looks at the file at each signal, and now and then without one, until stop is closed.
func (r *Reloader) Run(signals, stop <-chan struct{}) {
	t := time.NewTicker(settingsEvery)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-signals:
			r.bad = ""
			r.Reload()
		case <-t.C:
			r.Reload()
		}
	}
}

// Reload reads the file once.
func (r *Reloader) Reload() {
	next, err := r.load()
	if err != nil {
		if err.Error() != r.bad {
			r.log.Error("settings_rejected", "err", err)
		}
		r.bad = err.Error()
		return
	}
	r.bad = ""
	now, later := changes(r.current, next)
	if len(now)+len(later) == 0 {
		return
	}
	r.apply(next)
	r.log.Info("settings_read", "applied", now, "at_next_start", later)
	r.current = next
}

// appliedAtOnce are the settings that take effect without a restart.
var appliedAtOnce = map[string]bool{"Cores": true, "CPUShare": true, "MemoryBytes": true}

// changes returns the names of the settings that differ: those that are applied at once, and those that
// hold from the next start on.
func changes(a, b Settings) (now, later []string) {
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range va.NumField() {
		name := va.Type().Field(i).Name
		switch {
		case va.Field(i).Equal(vb.Field(i)):
		case appliedAtOnce[name]:
			now = append(now, name)
		default:
			later = append(later, name)
		}
	}
	return now, later
}
