package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/value"
)

// errorInvalidCredential is the response to a request without a valid operator credential.
var errorInvalidCredential = newErrorResponse(http.StatusUnauthorized, "invalid_credential", "the operator's credential is missing or unknown")

// operators authenticates operators.
type operators struct {
	list value.List[value.Operator]
	log  *event.Log
}

// authenticate reports whether the secret is an operator's.
//
// It compares the hash with that of every operator in constant time, so the response time
// reveals neither how many digits of a hash match nor which operator matches.
func (o operators) authenticate(secret string) bool {
	sum := sha256.Sum256([]byte(secret))
	key := []byte(hex.EncodeToString(sum[:]))
	match := 0
	for x := range o.list.All() {
		match |= subtle.ConstantTimeCompare([]byte(x.Sha256()), key)
	}
	return match == 1
}

// requireCredential returns a handler that forwards only requests with a valid operator credential.
func (o operators) requireCredential(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		scheme, secret, _ := strings.Cut(r.Header.Get("Authorization"), " ")
		if !o.authenticate(secret) || !strings.EqualFold(scheme, "Bearer") {
			o.log.Write(event.OperatorDenied, logrus.Fields{"path": r.URL.Path, "remote": r.RemoteAddr})
			w.Header().Set("WWW-Authenticate", "Bearer")
			errorInvalidCredential.write(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}
