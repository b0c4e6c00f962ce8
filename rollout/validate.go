package rollout

import (
	"fmt"
	"net/http"
	"reflect"
	"time"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/config"
)

// errorf returns an error of the trainer API with outcome not run.
func errorf(code api.Code, status int, retryAfter time.Duration, format string, args ...any) *api.Error {
	return &api.Error{
		Code: code, Type: errorType(status), Message: fmt.Sprintf(format, args...), Outcome: api.OutcomeNotRun,
		Status: status, RetryAfter: retryAfter, RetryAfterMs: retryAfter.Milliseconds(),
	}
}

func errorType(status int) string {
	if status < http.StatusInternalServerError {
		return "invalid_request_error"
	}
	return "server_error"
}

func badRequest(format string, args ...any) *api.Error {
	return errorf(api.CodeBadRequest, http.StatusBadRequest, 0, format, args...)
}

func tooLarge(format string, args ...any) *api.Error {
	return errorf(api.CodeTooLarge, http.StatusRequestEntityTooLarge, 0, format, args...)
}

// Validate checks a step specification against the limits of this package and of its route.
func Validate(s *api.StepSpec, route *config.Route) *api.Error {
	if err := validID("id", s.ID); err != nil {
		return err
	}
	switch {
	case len(s.Groups) == 0:
		return badRequest("groups is empty; name at least one group with its prompt")
	case len(s.Groups) > MaxGroups:
		return tooLarge("%d groups exceed %d; split the step", len(s.Groups), MaxGroups)
	case s.MaxTokens < 1 || s.MaxTokens > MaxTokens:
		return badRequest("max_tokens is %d; choose 1 to %d", s.MaxTokens, MaxTokens)
	case s.StalenessBound < 0 || s.StalenessBound > route.MaxStalenessVersions:
		return badRequest("staleness_bound is %d; route %s allows 0 to %d versions", s.StalenessBound, route.Name, route.MaxStalenessVersions)
	case s.TrainerVersion < 0:
		return badRequest("trainer_version is %d; versions start at 0", s.TrainerVersion)
	case s.TimeoutMs < 0 || s.TimeoutMs > route.TimeoutMs:
		return badRequest("timeout_ms is %d; route %s allows up to %d, 0 means all of it", s.TimeoutMs, route.Name, route.TimeoutMs)
	}
	if err := validGroups(s.Groups); err != nil {
		return err
	}
	return ValidCursor(s.Held, s.Slots())
}

func validGroups(groups []api.Group) *api.Error {
	seen := make(map[string]bool, len(groups))
	slots := 0
	for i, g := range groups {
		if err := validID(fmt.Sprintf("groups[%d].id", i), g.ID); err != nil {
			return err
		}
		switch {
		case seen[g.ID]:
			return badRequest("groups[%d].id %q stands twice; give each group its own", i, g.ID)
		case len(g.Prompt) == 0:
			return badRequest("groups[%d].prompt is empty", i)
		case len(g.Prompt) > MaxPromptBytes:
			return tooLarge("groups[%d].prompt has %d bytes, above %d; shorten it", i, len(g.Prompt), MaxPromptBytes)
		case g.Samples < 1 || g.Samples > MaxSlots:
			return badRequest("groups[%d].samples is %d; choose 1 to %d", i, g.Samples, MaxSlots)
		}
		seen[g.ID] = true
		slots += g.Samples
	}
	if slots > MaxSlots {
		return tooLarge("%d slots exceed %d; split the step", slots, MaxSlots)
	}
	return nil
}

func validID(field, id string) *api.Error {
	if id == "" || len(id) > MaxIDBytes {
		return badRequest("%s has %d bytes; choose a name of 1 to %d", field, len(id), MaxIDBytes)
	}
	for _, r := range id {
		if r <= ' ' || r == '/' || r == 0x7f {
			return badRequest("%s %q holds a space, slash or control character; leave it out", field, id)
		}
	}
	return nil
}

// ValidCursor returns an error if a cursor names a slot outside the step or is longer than needed.
func ValidCursor(c api.Cursor, slots int) *api.Error {
	if len(c) > (slots+7)/8 {
		return badRequest("cursor has %d bytes; %d slots need %d", len(c), slots, (slots+7)/8)
	}
	for s := slots; s < 8*len(c); s++ {
		if c.Has(s) {
			return badRequest("cursor names slot %d; the step has slots 0 to %d", s, slots-1)
		}
	}
	return nil
}

// SameSpec reports whether two specifications are equal apart from Held and TrainerVersion, which a resubmission may change.
func SameSpec(a, b api.StepSpec) bool {
	a.Held, b.Held = nil, nil
	a.TrainerVersion, b.TrainerVersion = 0, 0
	return reflect.DeepEqual(a, b)
}
