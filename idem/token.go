// Package idem runs unrepeatable calls at most once.
//
// A call carries an idempotency token that names the router process that issued it.
// Only that process may run the call. It keeps a record of the token from before it sends the
// first byte until the token's window has expired. The guarantee therefore needs no agreement
// between routers and holds during pauses, partitions and restarts.
package idem

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrMalformedToken reports a malformed idempotency token.
var ErrMalformedToken = eris.New("an idempotency token has the form issuer.window.number")

// maxKeyBytes bounds the caller's key in a token.
const maxKeyBytes = 64

// Token is an idempotency token; it is comparable.
type Token struct {
	issuer uint64
	window uint64
	key    string
}

// NewToken returns a token of the issuer's window with the caller's key.
func NewToken(issuer, window uint64, key string) Token { return Token{issuer, window, key} }

// ParseToken parses a token of the form issuer.window.number: the issuer in hexadecimal, the window in decimal and the caller's key.
func ParseToken(s string) (Token, error) {
	parts := strings.SplitN(s, ".", 3)
	if len(parts) != 3 || parts[2] == "" || len(parts[2]) > maxKeyBytes {
		return Token{}, ErrMalformedToken
	}
	issuer, err := strconv.ParseUint(parts[0], 16, 64)
	if err != nil {
		return Token{}, ErrMalformedToken
	}
	window, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return Token{}, ErrMalformedToken
	}
	return Token{issuer, window, parts[2]}, nil
}

// Issuer returns the incarnation of the issuing router process, the only one that may run the call.
func (t Token) Issuer() uint64 { return t.issuer }

// Window returns the number of the issuer's window.
func (t Token) Window() uint64 { return t.window }

// String returns the token in the format of ParseToken.
func (t Token) String() string {
	return strconv.FormatUint(t.issuer, 16) + "." + strconv.FormatUint(t.window, 10) + "." + t.key
}
