// Package ticket keeps non-idempotent requests at most once: it mints tickets that name one
// incarnation of one gate, and keeps what became of each ticket or claimed key, so that a request
// that is sent again gets the same answer. It does no I/O; the time is an argument.
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

// TTL is how long a ticket may be used. Outcomes are kept longer, so that a used ticket never runs again.
const TTL = 5 * time.Minute

// nonceBytes is the size of a ticket's random part.
const nonceBytes = 16

const ticketParts = 5

// Errors of Parse and Verify; their messages name the remedy.
var (
	ErrMalformed = errors.New("ticket is malformed; mint one with POST /v1/tickets")
	ErrExpired   = errors.New("ticket has expired; mint a new one with POST /v1/tickets")
	ErrForged    = errors.New("ticket was not minted by this gate; mint one with POST /v1/tickets")
)

// Ticket names the only incarnation that may run a request.
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

// NewMinter returns a minter; the secret lives as long as the incarnation.
func NewMinter(gate, incarnation string, secret []byte) *Minter {
	return &Minter{gate: gate, incarnation: incarnation, secret: secret}
}

// Mint returns a new ticket; nonce is random and of at least nonceBytes bytes.
func (m *Minter) Mint(now time.Time, nonce []byte) (string, error) {
	if len(nonce) < nonceBytes {
		return "", fmt.Errorf("ticket: nonce has %d bytes; give at least %d", len(nonce), nonceBytes)
	}
	expires := strconv.FormatInt(now.Add(TTL).UnixMilli(), 36)
	signed := strings.Join([]string{encode([]byte(m.gate)), encode([]byte(m.incarnation)), expires, encode(nonce)}, ".")
	return signed + "." + encode(m.mac(signed)), nil
}

// Parse reads a ticket of any gate without verifying it.
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

// Own tells whether the ticket names the minter's incarnation.
func (m *Minter) Own(t Ticket) bool { return t.Gate == m.gate && t.Incarnation == m.incarnation }

// Verify tells whether this incarnation minted the ticket and it may still be used.
func (m *Minter) Verify(now time.Time, t Ticket) error {
	if !m.Own(t) || !hmac.Equal(t.mac, m.mac(t.signed)) {
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

// Key returns the book's key of a caller's own idempotency key or ticket.
func Key(caller, route, key string) string { return digest(caller, route, key) }

// Fingerprint returns the fingerprint of a request, by which a key that is reused for another one is found.
func Fingerprint(method, path string, body []byte) string {
	return digest(method, path, string(body))
}

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
