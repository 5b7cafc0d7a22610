// Package idem makes calls that must not be repeated run at most once.
//
// A call carries an idempotency token that names the router process which issued it.
// Only that process may run the call, and it keeps a record from before the first byte
// leaves until the token's window has expired. So the promise needs no agreement
// between routers, and it holds through pauses, partitions and restarts.
package idem

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrMalformedToken reports a malformed idempotency token.
var ErrMalformedToken = eris.New("an idempotency token has the form issuer.window.number")

// maxNumber bounds the caller's part of a token, in bytes.
const maxNumber = 64

// Token is an idempotency token; it is comparable.
type Token struct {
	issuer uint64
	window uint64
	number string
}

// NewToken returns a token of the issuer's window with the caller's own number.
func NewToken(issuer, window uint64, number string) Token { return Token{issuer, window, number} }

// ParseToken parses issuer.window.number, with the issuer in hexadecimal and the window in decimal.
func ParseToken(s string) (Token, error) {
	parts := strings.SplitN(s, ".", 3)
	if len(parts) != 3 || parts[2] == "" || len(parts[2]) > maxNumber {
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

// Issuer returns the incarnation of the router process that may run the call.
func (t Token) Issuer() uint64 { return t.issuer }

// Window returns the issuer's window.
func (t Token) Window() uint64 { return t.window }

// String returns the token in the form that ParseToken reads.
func (t Token) String() string {
	return strconv.FormatUint(t.issuer, 16) + "." + strconv.FormatUint(t.window, 10) + "." + t.number
}
