package gate

import (
	"context"
	"crypto/rand"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/dispatch"
	"github.com/ibistrail/ibistrail/ticket"
	"github.com/ibistrail/ibistrail/wire"
)

// Timeouts and limits of claims and of RPCs to peers.
const (
	// claimTimeout bounds the wait until a claim is read back from the log.
	claimTimeout = 3 * time.Second
	// claimRetryAfter is the Retry-After sent when claims are unavailable or the outcome store is full.
	claimRetryAfter = time.Second
	// peerTimeout bounds an RPC to the holder of a key.
	peerTimeout = 2 * time.Second
	// maxTransfers bounds the number of transfers that are followed to find the current holder of a key.
	maxTransfers = 3
	// inProgressRetryAfter is the Retry-After sent when the request is in progress.
	inProgressRetryAfter = 500 * time.Millisecond
)

// keyManager runs non-idempotent calls at most once for each ticket or claimed idempotency key.
type keyManager struct {
	gate   *Gate
	minter *ticket.Minter

	mu       sync.Mutex
	outcomes *ticket.OutcomeStore
}

// KeysState is the part of /debug/state about stored outcomes.
type KeysState struct {
	Keys        int `json:"keys"`
	AnswerBytes int `json:"answer_bytes"`
}

func (k *keyManager) state() KeysState {
	k.mu.Lock()
	defer k.mu.Unlock()
	return KeysState{Keys: k.outcomes.Len(), AnswerBytes: k.outcomes.Bytes()}
}

// mint returns a new ticket of this incarnation.
func (k *keyManager) mint() (string, *api.Error) {
	nonce := make([]byte, 16)
	if _, err := rand.Read(nonce); err != nil {
		return "", dispatch.NewError(http.StatusInternalServerError, api.CodeNotReady, api.OutcomeNotRun, time.Second, "no randomness: %v; send again", err)
	}
	t, err := k.minter.Mint(time.Now(), nonce)
	if err != nil {
		return "", dispatch.NewError(http.StatusInternalServerError, api.CodeNotReady, api.OutcomeNotRun, time.Second, "%v", err)
	}
	return t, nil
}

// keyedCall is a call with its key in the outcome store.
type keyedCall struct {
	call        dispatch.ServiceCall
	key         string
	fingerprint string
}

// serve runs a non-idempotent call at most once for its ticket or its caller's idempotency key; a call with
// neither is attempted once. replayed reports whether the answer was stored before. The run continues when
// the caller disconnects, so that the caller can fetch the answer with a repeated request.
func (k *keyManager) serve(r *http.Request, auth *authorization, c dispatch.ServiceCall) (answer *ticket.Answer, replayed bool, err *api.Error) {
	ctx := context.WithoutCancel(r.Context())
	encodedTicket, callerKey := r.Header.Get(api.HeaderTicket), r.Header.Get(api.HeaderIdempotencyKey)
	kc := keyedCall{call: c, fingerprint: ticket.Fingerprint(c.Method, c.Path, c.Body)}
	switch {
	case encodedTicket != "" && callerKey != "":
		return nil, false, badRequest("both %s and %s are set; send one of them", api.HeaderTicket, api.HeaderIdempotencyKey)
	case len(callerKey) > maxKeyBytes:
		return nil, false, badRequest("%s exceeds %d bytes; send a shorter one", api.HeaderIdempotencyKey, maxKeyBytes)
	case encodedTicket != "":
		kc.key = ticket.OutcomeKey(auth.caller.Name, auth.route.Name, "ticket "+encodedTicket)
		return k.runByTicket(ctx, encodedTicket, kc)
	case callerKey != "":
		kc.key = ticket.OutcomeKey(auth.caller.Name, auth.route.Name, "key "+callerKey)
		return k.runByClaim(ctx, kc)
	}
	answer, err = k.gate.callOnce(ctx, c)
	return answer, false, err
}

// runByTicket runs a call whose ticket this incarnation minted. For any other ticket it queries the
// incarnation that minted it, which revokes the ticket if it has not been used.
func (k *keyManager) runByTicket(ctx context.Context, encodedTicket string, kc keyedCall) (*ticket.Answer, bool, *api.Error) {
	t, perr := ticket.Parse(encodedTicket)
	if perr != nil {
		return nil, false, errInvalidTicket(perr)
	}
	if !k.minter.Owns(t) {
		res, err := k.queryHolder(ctx, ticket.Holder{Gate: t.Gate, Incarnation: t.Incarnation}, kc, wire.KeyOutcomeParams{Revoke: true})
		if err != nil {
			return nil, false, err
		}
		return answerFromHolder(res)
	}
	now := time.Now()
	verr := k.minter.Verify(now, t)
	status, _, answer := k.begin(now, kc, "")
	if status != ticket.StatusNew {
		return answerFromStatus(status, answer)
	}
	if verr != nil {
		k.release(kc)
		return nil, false, errInvalidTicket(verr)
	}
	return k.run(ctx, kc)
}

// runByClaim claims the caller's idempotency key and runs the call if this gate's claim is the first in the
// log. Otherwise it queries the holder of the key.
func (k *keyManager) runByClaim(ctx context.Context, kc keyedCall) (*ticket.Answer, bool, *api.Error) {
	status, claimID, answer := k.begin(time.Now(), kc, uuid.NewString())
	if status == ticket.StatusTransferred {
		holder, _ := k.transferredTo(kc)
		return k.takeOver(ctx, holder, kc, false)
	}
	if status != ticket.StatusNew {
		return answerFromStatus(status, answer)
	}
	res, err := k.claim(ctx, kc, claimID)
	if err != nil {
		k.release(kc)
		k.gate.log.Warn("claim_unavailable", "id", kc.call.RequestID, "err", err)
		return nil, false, errClaimUnavailable()
	}
	k.gate.explain.Add(kc.call.RequestID, "claimed", "own=%t holder=%s offset=%d", res.ClaimID == claimID, res.GateID, res.Offset)
	switch {
	case res.Fingerprint != kc.fingerprint:
		k.release(kc)
		return nil, false, errKeyReused()
	case res.ClaimID == claimID:
		return k.run(ctx, kc)
	case res.GateIncarnation == k.gate.incarnation:
		k.release(kc)
		return nil, false, errAnswerGone(api.OutcomeUnknown)
	}
	return k.takeOver(ctx, ticket.Holder{Gate: res.GateID, Incarnation: res.GateIncarnation}, kc, true)
}

// takeOver queries the holder of a claimed key for its answer. If the holder has not run the request, it
// transfers its claim to this gate, which then runs the request. startedHere reports whether this call
// began the key in the outcome store: only then may it release the key, as another call may be running it.
func (k *keyManager) takeOver(ctx context.Context, holder ticket.Holder, kc keyedCall, startedHere bool) (*ticket.Answer, bool, *api.Error) {
	res, err := k.queryAlongTransfers(ctx, holder, kc)
	if err == nil && res.ClaimID != "" {
		if !k.accept(kc, res.ClaimID) {
			return nil, false, errKeyInProgress()
		}
		return k.run(ctx, kc)
	}
	if startedHere {
		k.release(kc)
	}
	if err != nil {
		return nil, false, err
	}
	return answerFromHolder(res)
}

// queryAlongTransfers queries the holder of a claimed key for the outcome or for a transfer to this gate. If
// that holder has transferred the key, it queries the next holder, up to maxTransfers times.
func (k *keyManager) queryAlongTransfers(ctx context.Context, holder ticket.Holder, kc keyedCall) (*wire.KeyOutcomeResult, *api.Error) {
	self := ticket.Holder{Gate: k.gate.opts.Settings.ID, Incarnation: k.gate.incarnation}
	for range maxTransfers {
		if holder == self {
			break // transferred to this gate, which has since discarded its entry
		}
		res, err := k.queryHolder(ctx, holder, kc, wire.KeyOutcomeParams{NewHolderID: self.Gate, NewHolderIncarnation: self.Incarnation})
		if err != nil || res.TransferredTo == "" {
			return res, err
		}
		holder = ticket.Holder{Gate: res.TransferredTo, Incarnation: res.TransferredToIncarnation}
	}
	return nil, errOutcomeLost(holder.Gate)
}

func (k *keyManager) transferredTo(kc keyedCall) (ticket.Holder, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.outcomes.TransferredTo(kc.key)
}

func (k *keyManager) accept(kc keyedCall, claimID string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.outcomes.AcceptTransfer(time.Now(), kc.key, claimID)
}

func (k *keyManager) claim(ctx context.Context, kc keyedCall, claimID string) (*wire.ClaimResult, error) {
	timeout := min(claimTimeout, time.Until(kc.call.Deadline))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	res := new(wire.ClaimResult)
	err := k.gate.callSteward(ctx, wire.MethodClaim, wire.ClaimParams{
		Key: kc.key, Fingerprint: kc.fingerprint, GateID: k.gate.opts.Settings.ID, GateIncarnation: k.gate.incarnation,
		ClaimID: claimID, TimeoutMs: max(1, timeout.Milliseconds()),
	}, res)
	return res, err
}

// run runs the call and stores its outcome. If the call was not run, it releases the key.
func (k *keyManager) run(ctx context.Context, kc keyedCall) (*ticket.Answer, bool, *api.Error) {
	answer, err := k.gate.callOnce(ctx, kc.call)
	switch {
	case err == nil:
		k.finish(kc, answer)
	case err.Outcome == api.OutcomeNotRun:
		k.release(kc)
	default:
		k.finish(kc, &ticket.Answer{Outcome: err.Outcome})
	}
	return answer, false, err
}

// queryHolder queries the holder of a key for the key's outcome. A holder that is not a live peer, does not
// answer or has no entry for the key has lost the outcome.
func (k *keyManager) queryHolder(ctx context.Context, holder ticket.Holder, kc keyedCall, p wire.KeyOutcomeParams) (*wire.KeyOutcomeResult, *api.Error) {
	peer, ok := k.gate.state.peer(holder.Gate)
	if !ok {
		return nil, errOutcomeLost(holder.Gate)
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	p.GateIncarnation, p.Key, p.Fingerprint, p.WaitMs = holder.Incarnation, kc.key, kc.fingerprint, peerTimeout.Milliseconds()/2
	res := new(wire.KeyOutcomeResult)
	err := k.gate.pool.Call(ctx, peer.GateAddress, wire.MethodKeyOutcome, p, res)
	k.gate.explain.Add(kc.call.RequestID, "asked_owner", "owner=%s known=%t done=%t transferred=%t outcome=%s err=%v", holder.Gate, res.Known, res.Done, res.ClaimID != "", res.Outcome, err)
	if err != nil || !res.Known {
		return nil, errOutcomeLost(holder.Gate)
	}
	return res, nil
}

// answerFromHolder converts the holder's result into the answer or error for the caller.
func answerFromHolder(res *wire.KeyOutcomeResult) (*ticket.Answer, bool, *api.Error) {
	switch {
	case !res.Done:
		return nil, false, errKeyInProgress()
	case res.Reused:
		return nil, false, errKeyReused()
	}
	return answerFromStatus(ticket.StatusDone, &ticket.Answer{Outcome: res.Outcome, Status: res.Status, Header: res.Header, Body: res.Body})
}

// handleKeyOutcome answers a peer's query for the outcome of a key of this incarnation. It waits up to
// p.WaitMs, but at most peerTimeout, for a running request.
func (k *keyManager) handleKeyOutcome(ctx context.Context, p wire.KeyOutcomeParams) (*wire.KeyOutcomeResult, error) {
	if p.GateIncarnation != k.gate.incarnation {
		return &wire.KeyOutcomeResult{}, nil
	}
	k.mu.Lock()
	status, _, _, done := k.outcomes.Lookup(time.Now(), p.Key, p.Fingerprint)
	k.mu.Unlock()
	if status == ticket.StatusRunning {
		k.awaitDone(ctx, done, time.Duration(p.WaitMs)*time.Millisecond)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.resolveOutcome(time.Now(), p), nil
}

// resolveOutcome revokes or transfers a key that has not run, if the peer asked for that, and otherwise
// returns the key's state. The caller holds k.mu.
func (k *keyManager) resolveOutcome(now time.Time, p wire.KeyOutcomeParams) *wire.KeyOutcomeResult {
	if p.Revoke && k.outcomes.Revoke(now, p.Key, p.Fingerprint) {
		return &wire.KeyOutcomeResult{Known: true, Done: true, Outcome: api.OutcomeNotRun}
	}
	if p.NewHolderID != "" {
		newHolder := ticket.Holder{Gate: p.NewHolderID, Incarnation: p.NewHolderIncarnation}
		if id, ok := k.outcomes.Transfer(now, p.Key, p.Fingerprint, newHolder); ok {
			return &wire.KeyOutcomeResult{Known: true, ClaimID: id}
		}
	}
	status, known, answer, _ := k.outcomes.Lookup(now, p.Key, p.Fingerprint)
	if status == ticket.StatusTransferred {
		holder, _ := k.outcomes.TransferredTo(p.Key)
		return &wire.KeyOutcomeResult{Known: true, TransferredTo: holder.Gate, TransferredToIncarnation: holder.Incarnation}
	}
	return newKeyOutcomeResult(status, known, answer)
}

func (k *keyManager) awaitDone(ctx context.Context, done <-chan struct{}, wait time.Duration) {
	t := time.NewTimer(min(wait, peerTimeout))
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	case <-ctx.Done():
	}
}

// newKeyOutcomeResult returns the result for a key's state. answer is read only with StatusDone.
func newKeyOutcomeResult(status ticket.Status, known bool, answer *ticket.Answer) *wire.KeyOutcomeResult {
	res := &wire.KeyOutcomeResult{Known: known}
	switch {
	case !known:
	case status == ticket.StatusReused:
		res.Done, res.Reused = true, true
	case status == ticket.StatusDone:
		res.Done, res.Outcome, res.Status, res.Header, res.Body = true, answer.Outcome, answer.Status, answer.Header, answer.Body
	case status == ticket.StatusAnswerDiscarded:
		res.Done, res.Outcome = true, api.OutcomeDone
	case status == ticket.StatusNew:
		res.Done, res.Outcome = true, api.OutcomeNotRun
	}
	return res
}

func (k *keyManager) begin(now time.Time, kc keyedCall, claimID string) (ticket.Status, string, *ticket.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.outcomes.Begin(now, kc.key, kc.fingerprint, claimID)
}

func (k *keyManager) finish(kc keyedCall, answer *ticket.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.outcomes.Finish(time.Now(), kc.key, answer)
}

func (k *keyManager) release(kc keyedCall) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.outcomes.Release(time.Now(), kc.key)
}

// answerFromStatus returns the stored answer, or the error, for a key whose request need not run. answer is
// read only with StatusDone.
func answerFromStatus(status ticket.Status, answer *ticket.Answer) (*ticket.Answer, bool, *api.Error) {
	switch status {
	case ticket.StatusRunning:
		return nil, false, errKeyInProgress()
	case ticket.StatusReused:
		return nil, false, errKeyReused()
	case ticket.StatusAnswerDiscarded:
		return nil, false, errAnswerGone(api.OutcomeDone)
	case ticket.StatusFull:
		return nil, false, dispatch.NewError(http.StatusServiceUnavailable, api.CodeOverloaded, api.OutcomeNotRun, claimRetryAfter, "this gate keeps no further keys now; send again after the given time")
	}
	switch {
	case answer.Outcome == api.OutcomeNotRun:
		return nil, false, dispatch.NewError(http.StatusConflict, api.CodeTicketInvalid, api.OutcomeNotRun, 0, "the request was not run and this key cannot run it any more; send it with a new ticket or key")
	case answer.Status == 0 && answer.Outcome == api.OutcomeUnknown:
		return nil, false, dispatch.NewError(http.StatusBadGateway, api.CodeTargetFailed, api.OutcomeUnknown, 0, "the target failed while it ran the request; find out whether it took effect before sending it under a new key")
	case answer.Status == 0:
		return nil, false, errAnswerGone(answer.Outcome)
	}
	return answer, true, nil
}
