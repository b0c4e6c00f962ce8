package gate

import (
	"net/http"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/dispatch"
)

func errInvalidTicket(err error) *api.Error {
	return dispatch.NewError(http.StatusBadRequest, api.CodeTicketInvalid, api.OutcomeNotRun, 0, "%v", err)
}

func errKeyReused() *api.Error {
	return dispatch.NewError(http.StatusUnprocessableEntity, api.CodeKeyReused, api.OutcomeNotRun, 0, "the key was used for another request; send a new key with it")
}

func errKeyInProgress() *api.Error {
	return dispatch.NewError(http.StatusConflict, api.CodeKeyInProgress, api.OutcomeUnknown, inProgressRetryAfter, "a request with this key is in progress; ask again with the same key")
}

func errClaimUnavailable() *api.Error {
	return dispatch.NewError(http.StatusServiceUnavailable, api.CodeClaimUnavailable, api.OutcomeNotRun, claimRetryAfter, "the key cannot be claimed now, as the platform's log does not answer; send again with the same key, or with a ticket of POST /v1/tickets")
}

func errOutcomeLost(gateID string) *api.Error {
	return dispatch.NewError(http.StatusBadGateway, api.CodeAnswerGone, api.OutcomeUnknown, 0, "gate %s, which owns the key, does not know its outcome any more; find out whether the request took effect before sending it under a new key", gateID)
}

func errAnswerGone(outcome api.Outcome) *api.Error {
	return dispatch.NewError(http.StatusGone, api.CodeAnswerGone, outcome, 0, "the request was taken up before and its answer is no longer kept; do not send it again under a new key without checking its effect")
}
