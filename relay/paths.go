// Package relay keeps a VM in touch with the platform's store while the store is out of its reach or turns it away, as
// long as another VM reaches it: calls then go through that VM. Without it a holder that the store refuses loses
// its tenure, and all that it runs is begun again elsewhere.
package relay

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Times of the choice of a path.
const (
	// outagePause is how long no peer is asked after none of those asked reached the store, since it is probably down.
	outagePause = 500 * time.Millisecond
	// peerCooldown is how long a peer is not asked after it failed.
	peerCooldown = 5 * time.Second
	// isolationDelay is how long neither the store nor any peer must answer until this VM counts as isolated.
	isolationDelay = time.Second
	// isolationPeers is the number of peers that must have been asked in vain by then, or all if there are fewer.
	isolationPeers = 3
)

// paths decides by which path calls go: directly, or through a peer. It does no I/O and is not safe for concurrent use.
type paths struct {
	// directDown is set from a failure of the direct path until a probe or a call is answered on it.
	directDown bool
	// directFailedAt is the time of the last failure of the direct path.
	directFailedAt time.Time
	// outageUntil is the end of the pause after no peer reached the store.
	outageUntil time.Time
	peers       []string
	// current is the peer that answered last, or "".
	current string
	// failedUntil is the end of the cooldown of peers that failed.
	failedUntil map[string]time.Time
	// silent holds the peers that did not answer since the store or any peer did, the first of them at silentSince.
	silent      map[string]bool
	silentSince time.Time
}

func newPaths() *paths {
	return &paths{failedUntil: map[string]time.Time{}, silent: map[string]bool{}}
}

// setPeers replaces the peers' addresses.
func (p *paths) setPeers(addresses []string) {
	p.peers = addresses
	if !slices.Contains(addresses, p.current) {
		p.current = ""
	}
	for a := range p.failedUntil {
		if !slices.Contains(addresses, a) {
			delete(p.failedUntil, a)
		}
	}
}

// direct reports whether the next call goes directly first. It does while the path is good, and in an outage.
func (p *paths) direct(now time.Time) bool {
	return !p.directDown || now.Before(p.outageUntil) || len(p.peers) == 0
}

// directAnswered records an answer of the store to a direct call that was sent at the given time. An answer to an earlier call
// than the one that failed, such as a read that waited for a record, is no sign of recovery. It reports whether the path
// has recovered.
func (p *paths) directAnswered(sentAt time.Time) (recovered bool) {
	if !p.directDown || sentAt.Before(p.directFailedAt) {
		return false
	}
	p.directDown = false
	clear(p.silent)
	return true
}

// directFailed records a refusal, or a call without an answer, on the direct path. It reports whether the path was good before.
func (p *paths) directFailed(now time.Time) (lost bool) {
	lost = !p.directDown
	p.directDown, p.directFailedAt = true, now
	return lost
}

// peer returns the address of the peer to ask next, or "" if there is none: the one that answered last, otherwise a random one
// that has not failed recently.
func (p *paths) peer(now time.Time) string {
	if now.Before(p.outageUntil) {
		return ""
	}
	if p.current != "" {
		return p.current
	}
	var usable []string
	for _, a := range p.peers {
		if !now.Before(p.failedUntil[a]) {
			usable = append(usable, a)
		}
	}
	if len(usable) == 0 {
		return ""
	}
	return usable[rand.IntN(len(usable))]
}

// peerAnswered records that a peer passed on an answer of the store.
func (p *paths) peerAnswered(address string) {
	p.current = address
	clear(p.silent)
}

// peerFailed records that a peer did not reach the store, or, if it did not answer, that it was not reached.
func (p *paths) peerFailed(now time.Time, address string, answered bool) {
	p.failedUntil[address] = now.Add(peerCooldown)
	if answered {
		clear(p.silent)
	} else {
		if len(p.silent) == 0 {
			p.silentSince = now
		}
		p.silent[address] = true
	}
	if p.current == address {
		p.current = ""
	}
}

// isolated reports whether this VM is cut off: neither the store nor any peer has answered for some time. In an outage of the
// store, peers answer.
func (p *paths) isolated(now time.Time) bool {
	return p.directDown && len(p.peers) > 0 && len(p.silent) >= min(isolationPeers, len(p.peers)) && now.Sub(p.silentSince) >= isolationDelay
}

// allFailed records that no peer that was asked for a call reached the store. Their failures are forgotten: they are no worse
// than others.
func (p *paths) allFailed(now time.Time) {
	p.outageUntil = now.Add(outagePause)
	clear(p.failedUntil)
}
