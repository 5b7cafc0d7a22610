// Package config parses, checks, compares and indexes configuration snapshots and settings.
package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/rotisserie/eris"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// ErrInvalidCredential reports an unknown or expired credential.
var ErrInvalidCredential = eris.New("unknown or expired credential")

// Version orders snapshots by generation and, within one generation, by digest.
type Version struct {
	Generation uint64
	Digest     uint64
}

// Newer reports whether v is newer than w and replaces it.
func (v Version) Newer(w Version) bool {
	if v.Generation != w.Generation {
		return v.Generation > w.Generation
	}
	return v.Digest > w.Digest
}

// Class is a class of callers with the rank of its tier.
type Class struct {
	value.Class
	// Rank of the tier; 1 is the highest.
	Rank int32
}

// View is an immutable index over a checked snapshot.
type View struct {
	value.Snapshot
	version           Version
	classes           map[string]Class
	workspaces        map[string]value.Workspace
	pools             map[string]value.Pool
	services          map[string]value.Service
	poolsByModel      map[string][]string
	credentialsByHash map[string]value.Credential
	credentialsByName map[string]value.Credential
}

// NewView returns a view of the snapshot, which must be free of findings.
func NewView(s value.Snapshot, digest uint64) *View {
	v := &View{
		Snapshot:          s,
		version:           Version{s.Generation(), digest},
		classes:           map[string]Class{},
		workspaces:        map[string]value.Workspace{},
		pools:             map[string]value.Pool{},
		services:          map[string]value.Service{},
		poolsByModel:      map[string][]string{},
		credentialsByHash: map[string]value.Credential{},
		credentialsByName: map[string]value.Credential{},
	}
	ranks := map[string]int32{}
	for t := range s.Tiers().All() {
		ranks[t.Name()] = t.Rank()
	}
	for c := range s.Classes().All() {
		v.classes[c.Name()] = Class{Class: c, Rank: ranks[c.Tier()]}
	}
	for w := range s.Workspaces().All() {
		v.workspaces[w.Name()] = w
	}
	for c := range s.Credentials().All() {
		v.credentialsByHash[c.Sha256()] = c
		v.credentialsByName[c.Name()] = c
	}
	for x := range s.Services().All() {
		v.services[x.Name()] = x
	}
	for p := range s.Pools().All() {
		v.pools[p.Name()] = p
		for m := range p.Models().All() {
			v.poolsByModel[m] = append(v.poolsByModel[m], p.Name())
		}
		for a := range p.Adapters().All() {
			v.poolsByModel[a] = append(v.poolsByModel[a], p.Name())
		}
	}
	return v
}

// WithoutIndexes returns a view that only serves as the base of deltas. With 16,000 workspaces,
// the indexes of all retained configurations would exceed the control-plane memory of a router.
func (v *View) WithoutIndexes() *View { return &View{Snapshot: v.Snapshot, version: v.version} }

// Version returns the generation and digest of the snapshot.
func (v *View) Version() Version { return v.version }

// Class returns the class with the given name.
func (v *View) Class(name string) (Class, bool) {
	c, ok := v.classes[name]
	return c, ok
}

// Workspace returns the workspace with the given name.
func (v *View) Workspace(name string) (value.Workspace, bool) {
	w, ok := v.workspaces[name]
	return w, ok
}

// Pool returns the pool with the given name.
func (v *View) Pool(name string) (value.Pool, bool) {
	p, ok := v.pools[name]
	return p, ok
}

// Service returns the plain service with the given name.
func (v *View) Service(name string) (value.Service, bool) {
	s, ok := v.services[name]
	return s, ok
}

// CredentialNamed returns the credential with the given name.
func (v *View) CredentialNamed(name string) (value.Credential, bool) {
	c, ok := v.credentialsByName[name]
	return c, ok
}

// PoolsForModel returns the names of the pools that serve the model or adapter; the caller must not modify the result.
func (v *View) PoolsForModel(model string) []string { return v.poolsByModel[model] }

// Authenticate returns the credential of the secret, or ErrInvalidCredential.
//
// The secret is hashed before the look-up, so the duration of the map access reveals
// nothing about it; the final comparison takes constant time.
func (v *View) Authenticate(secret string, now hoist.Millis) (value.Credential, error) {
	sum := sha256.Sum256([]byte(secret))
	key := hex.EncodeToString(sum[:])
	c, ok := v.credentialsByHash[key]
	if !ok || subtle.ConstantTimeCompare([]byte(c.Sha256()), []byte(key)) != 1 {
		return value.Credential{}, ErrInvalidCredential
	}
	if c.ExpiresMs() != 0 && now >= hoist.Millis(c.ExpiresMs()) {
		return value.Credential{}, ErrInvalidCredential
	}
	return c, nil
}
