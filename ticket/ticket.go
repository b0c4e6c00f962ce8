// Package ticket provides at-most-once execution of non-idempotent requests. It mints tickets that name
// one incarnation of one gate, and stores the outcome of each ticket or claimed key, so that a repeated
// request gets the same answer. It does no I/O and takes the current time as an argument.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// TTL is the validity period of a ticket. Outcomes are kept longer, so that a used ticket never runs again.
const TTL = 5 * time.Minute

// nonceBytes is the size of a ticket's random part.
const nonceBytes = 16

// ticketParts is the number of dot-separated parts: gate, incarnation, expiry, nonce and MAC.
const ticketParts = 5

// Errors returned by Parse and Verify. The messages are sent to callers.
var (
	ErrMalformed = errors.New("ticket is malformed; mint one with POST /v1/tickets")
	ErrExpired   = errors.New("ticket has expired; mint a new one with POST /v1/tickets")
	ErrForged    = errors.New("ticket was not minted by this gate; mint one with POST /v1/tickets")
)

// Ticket is a parsed ticket. It names the only gate incarnation that may run its request.
type Ticket struct {
	Gate        string
	Incarnation string
	Expires     time.Time
	signed      string
	mac         []byte
}

// Minter mints and verifies the tickets of one incarnation of a gate.
type Minter struct {
	gate, incarnation string
	secret            []byte
}

// NewMinter returns a minter that signs with secret, which must not outlive the incarnation.
func NewMinter(gate, incarnation string, secret []byte) *Minter {
	return &Minter{gate: gate, incarnation: incarnation, secret: secret}
}

// Mint returns a new encoded ticket that expires TTL after now. nonce must be random and have at least
// nonceBytes bytes.
func (m *Minter) Mint(now time.Time, nonce []byte) (string, error) {
	if len(nonce) < nonceBytes {
		return "", fmt.Errorf("ticket: nonce has %d bytes; give at least %d", len(nonce), nonceBytes)
	}
	expires := strconv.FormatInt(now.Add(TTL).UnixMilli(), 36)
	signed := strings.Join([]string{encode([]byte(m.gate)), encode([]byte(m.incarnation)), expires, encode(nonce)}, ".")
	return signed + "." + encode(m.mac(signed)), nil
}

// Parse decodes a ticket of any gate without verifying it. It returns ErrMalformed if s is not a ticket.
func Parse(s string) (Ticket, error) {
	parts := strings.Split(s, ".")
	if len(parts) != ticketParts {
		return Ticket{}, ErrMalformed
	}
	gate, err1 := decode(parts[0])
	incarnation, err2 := decode(parts[1])
	expires, err3 := strconv.ParseInt(parts[2], 36, 64)
	mac, err4 := decode(parts[4])
	if err := errors.Join(err1, err2, err3, err4); err != nil {
		return Ticket{}, ErrMalformed
	}
	return Ticket{
		Gate: string(gate), Incarnation: string(incarnation), Expires: time.UnixMilli(expires),
		signed: strings.Join(parts[:ticketParts-1], "."), mac: mac,
	}, nil
}

// Owns reports whether the ticket names the minter's incarnation.
func (m *Minter) Owns(t Ticket) bool { return t.Gate == m.gate && t.Incarnation == m.incarnation }

// Verify returns ErrForged if this incarnation did not mint the ticket, and ErrExpired if it has expired.
func (m *Minter) Verify(now time.Time, t Ticket) error {
	if !m.Owns(t) || !hmac.Equal(t.mac, m.mac(t.signed)) {
		return ErrForged
	}
	if now.After(t.Expires) {
		return ErrExpired
	}
	return nil
}

func (m *Minter) mac(signed string) []byte {
	h := hmac.New(sha256.New, m.secret)
	h.Write([]byte(signed))
	return h.Sum(nil)
}

// OutcomeKey returns the key under which an OutcomeStore holds a caller's idempotency key or ticket.
func OutcomeKey(caller, route, key string) string { return digest(caller, route, key) }

// Fingerprint returns the fingerprint of a request. It detects a key that is reused for another request.
func Fingerprint(method, path string, body []byte) string {
	return digest(method, path, string(body))
}

// digest returns the hex SHA-256 of the parts, each prefixed with its length, so that moving bytes
// between parts changes the digest.
func digest(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:", len(p))
		h.Write([]byte(p))
	}
	return hex.EncodeToString(h.Sum(nil))
}

func encode(b []byte) string { return base64.RawURLEncoding.EncodeToString(b) }

func decode(s string) ([]byte, error) { return base64.RawURLEncoding.DecodeString(s) }
