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

// Bounds of claims and of questions to peers.
const (
	// claimTimeout bounds the wait for a claim's read-back.
	claimTimeout = 3 * time.Second
	// claimRetryAfter is when a caller may come back while claims are unavailable.
	claimRetryAfter = time.Second
	// peerTimeout bounds a question to the owner of a key.
	peerTimeout = 2 * time.Second
	// maxTransfers bounds how often a key that was not run may be transferred on while its holder is looked for.
	maxTransfers = 3
	// runningRetryAfter is when a caller may ask again for a request in progress.
	runningRetryAfter = 500 * time.Millisecond
)

// keys runs non-idempotent calls: at most once for each ticket or claimed key.
type keys struct {
	gate   *Gate
	minter *ticket.Minter

	mu   sync.Mutex
	book *ticket.Book
}

// KeysState is what /debug/state shows of the kept outcomes.
type KeysState struct {
	Keys        int `json:"keys"`
	AnswerBytes int `json:"answer_bytes"`
}

func (k *keys) state() KeysState {
	k.mu.Lock()
	defer k.mu.Unlock()
	return KeysState{Keys: k.book.Len(), AnswerBytes: k.book.Bytes()}
}

func (k *keys) mint() (string, *api.Error) {
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

// keyed is one call with its key in the book.
type keyed struct {
	call        dispatch.ServiceCall
	key         string
	fingerprint string
}

// serve runs a non-idempotent call by its ticket, by its caller's key, or once without either. The
// run does not end with the caller's connection, so that its answer can be asked for again.
func (k *keys) serve(r *http.Request, adm *admitted, c dispatch.ServiceCall) (a *ticket.Answer, replayed bool, err *api.Error) {
	ctx := context.WithoutCancel(r.Context())
	t, own := r.Header.Get(api.HeaderTicket), r.Header.Get(api.HeaderIdempotencyKey)
	q := keyed{call: c, fingerprint: ticket.Fingerprint(c.Method, c.Path, c.Body)}
	switch {
	case t != "" && own != "":
		return nil, false, badRequest("both %s and %s are set; send one of them", api.HeaderTicket, api.HeaderIdempotencyKey)
	case len(own) > maxKeyBytes:
		return nil, false, badRequest("%s exceeds %d bytes; send a shorter one", api.HeaderIdempotencyKey, maxKeyBytes)
	case t != "":
		q.key = ticket.Key(adm.caller.Name, adm.row.Name, "ticket "+t)
		return k.byTicket(ctx, t, q)
	case own != "":
		q.key = ticket.Key(adm.caller.Name, adm.row.Name, "key "+own)
		return k.byClaim(ctx, q)
	}
	a, err = k.gate.callOnce(ctx, c)
	return a, false, err
}

// byTicket runs a call by a ticket of this incarnation, or asks the incarnation that minted it.
func (k *keys) byTicket(ctx context.Context, s string, q keyed) (*ticket.Answer, bool, *api.Error) {
	t, perr := ticket.Parse(s)
	if perr != nil {
		return nil, false, errTicket(perr)
	}
	if !k.minter.Own(t) {
		res, err := k.ask(ctx, ticket.Holder{Gate: t.Gate, Incarnation: t.Incarnation}, q, wire.KeyOutcomeParams{Revoke: true})
		if err != nil {
			return nil, false, err
		}
		return answered(res)
	}
	now := time.Now()
	verr := k.minter.Verify(now, t)
	status, _, kept := k.begin(now, q, "")
	if status != ticket.StatusNew {
		return settled(status, kept)
	}
	if verr != nil {
		k.release(q)
		return nil, false, errTicket(verr)
	}
	return k.run(ctx, q)
}

// byClaim runs a call if this gate's claim of the caller's key is the first in the log.
func (k *keys) byClaim(ctx context.Context, q keyed) (*ticket.Answer, bool, *api.Error) {
	status, claimID, kept := k.begin(time.Now(), q, uuid.NewString())
	if status == ticket.StatusTransferred {
		holder, _ := k.transferredTo(q)
		return k.takeOver(ctx, holder, q, false)
	}
	if status != ticket.StatusNew {
		return settled(status, kept)
	}
	res, err := k.claim(ctx, q, claimID)
	if err != nil {
		k.release(q)
		k.gate.log.Warn("claim_unavailable", "id", q.call.RequestID, "err", err)
		return nil, false, errClaimUnavailable()
	}
	k.gate.explain.Add(q.call.RequestID, "claimed", "own=%t holder=%s offset=%d", res.ClaimID == claimID, res.GateID, res.Offset)
	switch {
	case res.Fingerprint != q.fingerprint:
		k.release(q)
		return nil, false, errReused()
	case res.ClaimID == claimID:
		return k.run(ctx, q)
	case res.GateIncarnation == k.gate.incarnation:
		k.release(q)
		return nil, false, errAnswerGone(api.OutcomeUnknown)
	}
	return k.takeOver(ctx, ticket.Holder{Gate: res.GateID, Incarnation: res.GateIncarnation}, q, true)
}

// takeOver asks the holder of a claimed key for its answer. Where the holder has not run the request,
// it transfers its claim to this gate, which then runs it. begun tells that this call began the key
// in the book: only then may it release it, as another call may be running it.
func (k *keys) takeOver(ctx context.Context, holder ticket.Holder, q keyed, begun bool) (*ticket.Answer, bool, *api.Error) {
	res, err := k.askHolder(ctx, holder, q)
	if err == nil && res.ClaimID != "" {
		if !k.accept(q, res.ClaimID) {
			return nil, false, errRunning()
		}
		return k.run(ctx, q)
	}
	if begun {
		k.release(q)
	}
	if err != nil {
		return nil, false, err
	}
	return answered(res)
}

// askHolder asks for a claimed key, or for its transfer to this gate, along earlier transfers.
func (k *keys) askHolder(ctx context.Context, holder ticket.Holder, q keyed) (*wire.KeyOutcomeResult, *api.Error) {
	own := ticket.Holder{Gate: k.gate.opts.Settings.ID, Incarnation: k.gate.incarnation}
	for range maxTransfers {
		if holder == own {
			break // transferred to this gate before, which knows nothing of it any more
		}
		res, err := k.ask(ctx, holder, q, wire.KeyOutcomeParams{NewHolderID: own.Gate, NewHolderIncarnation: own.Incarnation})
		if err != nil || res.TransferredTo == "" {
			return res, err
		}
		holder = ticket.Holder{Gate: res.TransferredTo, Incarnation: res.TransferredToIncarnation}
	}
	return nil, errOwnerGone(holder.Gate)
}

func (k *keys) transferredTo(q keyed) (ticket.Holder, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.TransferredTo(q.key)
}

func (k *keys) accept(q keyed, claimID string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.Accept(time.Now(), q.key, claimID)
}

func (k *keys) claim(ctx context.Context, q keyed, claimID string) (*wire.ClaimResult, error) {
	wait := min(claimTimeout, time.Until(q.call.Deadline))
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	res := new(wire.ClaimResult)
	err := k.gate.callSteward(ctx, wire.MethodClaim, wire.ClaimParams{
		Key: q.key, Fingerprint: q.fingerprint, GateID: k.gate.opts.Settings.ID, GateIncarnation: k.gate.incarnation,
		ClaimID: claimID, TimeoutMs: max(1, wait.Milliseconds()),
	}, res)
	return res, err
}

// run runs the call and keeps its outcome, unless it was not run.
func (k *keys) run(ctx context.Context, q keyed) (*ticket.Answer, bool, *api.Error) {
	a, err := k.gate.callOnce(ctx, q.call)
	switch {
	case err == nil:
		k.finish(q, a)
	case err.Outcome == api.OutcomeNotRun:
		k.release(q)
	default:
		k.finish(q, &ticket.Answer{Outcome: err.Outcome})
	}
	return a, false, err
}

// ask asks the holder of a key what became of it. A gate that has gone takes the answer with it.
func (k *keys) ask(ctx context.Context, holder ticket.Holder, q keyed, p wire.KeyOutcomeParams) (*wire.KeyOutcomeResult, *api.Error) {
	peer, ok := k.gate.state.peer(holder.Gate)
	if !ok {
		return nil, errOwnerGone(holder.Gate)
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	p.GateIncarnation, p.Key, p.Fingerprint, p.WaitMs = holder.Incarnation, q.key, q.fingerprint, peerTimeout.Milliseconds()/2
	res := new(wire.KeyOutcomeResult)
	err := k.gate.pool.Call(ctx, peer.GateAddress, wire.MethodKeyOutcome, p, res)
	k.gate.explain.Add(q.call.RequestID, "asked_owner", "owner=%s known=%t done=%t transferred=%t outcome=%s err=%v", holder.Gate, res.Known, res.Done, res.ClaimID != "", res.Outcome, err)
	if err != nil || !res.Known {
		return nil, errOwnerGone(holder.Gate)
	}
	return res, nil
}

// answered answers a caller with what the holder of its key knows.
func answered(res *wire.KeyOutcomeResult) (*ticket.Answer, bool, *api.Error) {
	switch {
	case !res.Done:
		return nil, false, errRunning()
	case res.Reused:
		return nil, false, errReused()
	}
	return settled(ticket.StatusDone, &ticket.Answer{Outcome: res.Outcome, Status: res.Status, Header: res.Header, Body: res.Body})
}

// handleOutcome answers a peer that asks what became of a key of this incarnation.
func (k *keys) handleOutcome(ctx context.Context, p wire.KeyOutcomeParams) (*wire.KeyOutcomeResult, error) {
	if p.GateIncarnation != k.gate.incarnation {
		return &wire.KeyOutcomeResult{}, nil
	}
	k.mu.Lock()
	status, _, _, running := k.book.Lookup(time.Now(), p.Key, p.Fingerprint)
	k.mu.Unlock()
	if status == ticket.StatusRunning {
		k.await(ctx, running, time.Duration(p.WaitMs)*time.Millisecond)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.outcome(time.Now(), p), nil
}

// outcome revokes or transfers a key that has not run, as the asker wishes, or tells what became of it.
func (k *keys) outcome(now time.Time, p wire.KeyOutcomeParams) *wire.KeyOutcomeResult {
	if p.Revoke && k.book.Revoke(now, p.Key, p.Fingerprint) {
		return &wire.KeyOutcomeResult{Known: true, Done: true, Outcome: api.OutcomeNotRun}
	}
	if p.NewHolderID != "" {
		newHolder := ticket.Holder{Gate: p.NewHolderID, Incarnation: p.NewHolderIncarnation}
		if id, ok := k.book.Transfer(now, p.Key, p.Fingerprint, newHolder); ok {
			return &wire.KeyOutcomeResult{Known: true, ClaimID: id}
		}
	}
	status, known, a, _ := k.book.Lookup(now, p.Key, p.Fingerprint)
	if status == ticket.StatusTransferred {
		holder, _ := k.book.TransferredTo(p.Key)
		return &wire.KeyOutcomeResult{Known: true, TransferredTo: holder.Gate, TransferredToIncarnation: holder.Incarnation}
	}
	return outcomeResult(status, known, a)
}

func (k *keys) await(ctx context.Context, running <-chan struct{}, wait time.Duration) {
	t := time.NewTimer(min(wait, peerTimeout))
	defer t.Stop()
	select {
	case <-running:
	case <-t.C:
	case <-ctx.Done():
	}
}

func outcomeResult(status ticket.Status, known bool, a *ticket.Answer) *wire.KeyOutcomeResult {
	r := &wire.KeyOutcomeResult{Known: known}
	switch {
	case !known:
	case status == ticket.StatusReused:
		r.Done, r.Reused = true, true
	case status == ticket.StatusDone:
		r.Done, r.Outcome, r.Status, r.Header, r.Body = true, a.Outcome, a.Status, a.Header, a.Body
	case status == ticket.StatusGone:
		r.Done, r.Outcome = true, api.OutcomeDone
	case status == ticket.StatusNew:
		r.Done, r.Outcome = true, api.OutcomeNotRun
	}
	return r
}

func (k *keys) begin(now time.Time, q keyed, claimID string) (ticket.Status, string, *ticket.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.Begin(now, q.key, q.fingerprint, claimID)
}

func (k *keys) finish(q keyed, a *ticket.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.Finish(time.Now(), q.key, a)
}

func (k *keys) release(q keyed) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.Release(time.Now(), q.key)
}

// settled answers a key that needs no run.
func settled(status ticket.Status, a *ticket.Answer) (*ticket.Answer, bool, *api.Error) {
	switch status {
	case ticket.StatusRunning:
		return nil, false, errRunning()
	case ticket.StatusReused:
		return nil, false, errReused()
	case ticket.StatusGone:
		return nil, false, errAnswerGone(api.OutcomeDone)
	case ticket.StatusFull:
		return nil, false, dispatch.NewError(http.StatusServiceUnavailable, api.CodeOverloaded, api.OutcomeNotRun, claimRetryAfter, "this gate keeps no further keys now; send again after the given time")
	}
	switch {
	case a.Outcome == api.OutcomeNotRun:
		return nil, false, dispatch.NewError(http.StatusConflict, api.CodeTicketInvalid, api.OutcomeNotRun, 0, "the request was not run and this key cannot run it any more; send it with a new ticket or key")
	case a.Status == 0 && a.Outcome == api.OutcomeUnknown:
		return nil, false, dispatch.NewError(http.StatusBadGateway, api.CodeTargetFailed, api.OutcomeUnknown, 0, "the target failed while it ran the request; find out whether it took effect before sending it under a new key")
	case a.Status == 0:
		return nil, false, errAnswerGone(a.Outcome)
	}
	return a, true, nil
}
