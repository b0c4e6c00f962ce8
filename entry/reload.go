package entry

import (
	"log/slog"
	"reflect"
	"time"
)

// settingsPollInterval is how often the settings file is read without a signal.
const settingsPollInterval = 5 * time.Second

// Reloader applies changes of the settings file. Limits of the process take effect at once, all other settings
// at the next start. An invalid file changes nothing.
type Reloader struct {
	load func() (Settings, error)
	// apply sets the CPU and memory limits of the process.
	apply     func(Settings)
	log       *slog.Logger
	current   Settings
	lastError string // text of the last error, so that it is logged only once
}

// NewReloader returns a reloader for a process that was started with the settings s.
func NewReloader(s Settings, load func() (Settings, error), apply func(Settings), log *slog.Logger) *Reloader {
	return &Reloader{load: load, apply: apply, log: log, current: s}
}

// Run reloads the file at each signal and at regular intervals until stop is closed. After a signal, an error
// is logged again even if it is unchanged.
func (r *Reloader) Run(signals, stop <-chan struct{}) {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-signals:
			r.lastError = ""
			r.Reload()
		case <-t.C:
			r.Reload()
		}
	}
}

// Reload reads the file once and applies what has changed.
func (r *Reloader) Reload() {
	next, err := r.load()
	if err != nil {
		if err.Error() != r.lastError {
			r.log.Error("settings_rejected", "err", err)
		}
		r.lastError = err.Error()
		return
	}
	r.lastError = ""
	applied, deferred := changedSettings(r.current, next)
	if len(applied)+len(deferred) == 0 {
		return
	}
	r.apply(next)
	r.log.Info("settings_read", "applied", applied, "at_next_start", deferred)
	r.current = next
}

// appliedAtOnce holds the fields of Settings that take effect without a restart.
var appliedAtOnce = map[string]bool{"Cores": true, "CPUShare": true, "MemoryBytes": true}

// changedSettings returns the names of the fields that differ: applied take effect at once, deferred at the
// next start.
func changedSettings(current, next Settings) (applied, deferred []string) {
	currentFields, nextFields := reflect.ValueOf(current), reflect.ValueOf(next)
	for i := range currentFields.NumField() {
		name := currentFields.Type().Field(i).Name
		switch {
		case currentFields.Field(i).Equal(nextFields.Field(i)):
		case appliedAtOnce[name]:
			applied = append(applied, name)
		default:
			deferred = append(deferred, name)
		}
	}
	return applied, deferred
}
