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

// faultCredential answers a call without an operator's credential.
var faultCredential = newFault(http.StatusUnauthorized, "invalid_credential", "the operator's credential is missing or unknown")

// operators checks operators' credentials.
type operators struct {
	list value.List[value.Operator]
	log  *event.Log
}

// known reports whether the secret is an operator's.
//
// It compares the hash with that of every operator in constant time, so the time of an
// answer tells neither how much of a hash matches nor which operator comes first.
func (o operators) known(secret string) bool {
	sum := sha256.Sum256([]byte(secret))
	key := []byte(hex.EncodeToString(sum[:]))
	match := 0
	for x := range o.list.All() {
		match |= subtle.ConstantTimeCompare([]byte(x.Sha256()), key)
	}
	return match == 1
}

// require passes only calls with an operator's credential on.
func (o operators) require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		scheme, secret, _ := strings.Cut(r.Header.Get("Authorization"), " ")
		if !o.known(secret) || !strings.EqualFold(scheme, "Bearer") {
			o.log.Write(event.OperatorDenied, logrus.Fields{"path": r.URL.Path, "remote": r.RemoteAddr})
			w.Header().Set("WWW-Authenticate", "Bearer")
			faultCredential.write(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}
