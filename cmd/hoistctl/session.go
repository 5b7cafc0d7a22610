package main

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

// secretBytes is the length of a new secret: 256 random bits, which cannot be guessed from their hash.
const secretBytes = 32

// session executes one command with its options.
type session struct {
	console
	globalOptions
}

// execute executes the command.
func (s session) execute(c command) error {
	switch x := c.(type) {
	case *checkCommand:
		return s.check(x)
	case *diffCommand:
		return s.diff(x)
	case *bundleCommand:
		return s.bundle(x)
	case *secretCommand:
		return s.secret(x)
	case *whyCommand:
		return s.show(http.MethodGet, "/v1/requests/"+url.PathEscape(x.Args.Request), &wire.RequestRecord{})
	case *dryRunCommand:
		return s.dryRun(x)
	case *statusCommand:
		return s.show(http.MethodGet, "/v1/status", &wire.RouterStatus{})
	case *instancesCommand:
		return s.show(http.MethodGet, "/v1/instances", &wire.InstanceReport{})
	case *serversCommand:
		return s.show(http.MethodGet, "/v1/servers", &wire.ServerReport{})
	case *queuesCommand:
		return s.show(http.MethodGet, "/v1/queues", &wire.QueueReport{})
	case *quarantineCommand:
		return s.show(http.MethodGet, "/v1/quarantine", &wire.QuarantineReport{})
	case *drainCommand:
		return s.show(http.MethodPost, "/v1/drain", &wire.DrainAnswer{})
	}
	return fail(exitUsage, "no command was given; hoistctl --help lists them")
}

// read returns the content of a file, or of standard input for "-".
func (s session) read(file string) ([]byte, error) {
	var content []byte
	var err error
	if file == "-" {
		content, err = io.ReadAll(s.in)
	} else {
		content, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, fail(exitFile, "%v", err)
	}
	return content, nil
}

// snapshot reads and checks a snapshot; it prints the findings of an invalid one.
func (s session) snapshot(file string) (value.Snapshot, error) {
	content, err := s.read(file)
	if err != nil {
		return value.Snapshot{}, err
	}
	snapshot, findings := config.ParseSnapshot(file, content)
	return snapshot, s.reportFindings(findings)
}

// reportFindings prints findings and returns a failure, or returns nil if there are none.
func (s session) reportFindings(findings hoist.Findings) error {
	if len(findings) == 0 {
		return nil
	}
	if err := s.print(wire.DryRunWire(value.DryRun{}.WithFindings(config.FindingInfos(findings)))); err != nil {
		return err
	}
	return failure{code: exitFindings}
}

// check checks a file with a snapshot or settings and prints the findings.
func (s session) check(c *checkCommand) error {
	if !c.Settings {
		snapshot, err := s.snapshot(c.Args.File)
		if err != nil {
			return err
		}
		return s.print(wire.DryRunWire(value.DryRun{}.WithValid(true).WithGeneration(snapshot.Generation()).WithDigest(digestOf(snapshot))))
	}
	content, err := s.read(c.Args.File)
	if err != nil {
		return err
	}
	if _, findings := config.ParseSettings(c.Args.File, content); len(findings) > 0 {
		return s.reportFindings(findings)
	}
	return s.print(wire.DryRunWire(value.DryRun{}.WithValid(true)))
}

// digestOf returns the digest of a snapshot's canonical content.
func digestOf(x value.Snapshot) string { return fmt.Sprintf("%016x", config.Digest(config.Format(x))) }

// diff prints the changes between two snapshots; it returns a failure if they differ.
func (s session) diff(c *diffCommand) error {
	before, err := s.snapshot(c.Args.Old)
	if err != nil {
		return err
	}
	after, err := s.snapshot(c.Args.New)
	if err != nil {
		return err
	}
	changes := config.Diff(before, after)
	if err := s.print(wire.ChangeReportWire(value.ChangeReport{}.WithChanges(changes))); err != nil {
		return err
	}
	if changes.Len() > 0 {
		return failure{code: exitDiffers}
	}
	return nil
}

// bundle writes each value to publish to its own file.
func (s session) bundle(c *bundleCommand) error {
	snapshot, err := s.snapshot(c.Args.File)
	if err != nil {
		return err
	}
	values := config.Bundle(c.Key, snapshot, config.MaxValueBytes)
	if err := os.MkdirAll(c.Output, 0o755); err != nil {
		return fail(exitFile, "%v", err)
	}
	for v := range values.All() {
		name := filepath.Join(c.Output, valueFile(v.Key()))
		if err := os.WriteFile(name, []byte(v.Content()), 0o644); err != nil {
			return fail(exitFile, "%v", err)
		}
	}
	return s.print(wire.BundleAnswerWire(value.BundleAnswer{}.
		WithGeneration(snapshot.Generation()).
		WithDigest(digestOf(snapshot)).
		WithValues(values)))
}

// valueFile returns the file name for a key; the key is escaped, because it can contain slashes.
func valueFile(key string) string { return url.PathEscape(key) + ".toml" }

// secret prints the hash of a secret; a new secret is printed before its hash.
func (s session) secret(c *secretCommand) error {
	var secret string
	if c.New {
		random := make([]byte, secretBytes)
		_, _ = rand.Read(random)
		secret = base64.RawURLEncoding.EncodeToString(random)
		_, _ = fmt.Fprintln(s.out, secret)
	} else {
		content, err := s.read("-")
		if err != nil {
			return err
		}
		secret = strings.TrimRight(string(content), "\r\n")
	}
	if secret == "" || strings.ContainsAny(secret, " \t\r\n") {
		return fail(exitUsage, "a secret is one word on one line of standard input")
	}
	sum := sha256.Sum256([]byte(secret))
	_, _ = fmt.Fprintln(s.out, hex.EncodeToString(sum[:]))
	return nil
}

// dryRun checks a snapshot on the router and prints the result.
func (s session) dryRun(c *dryRunCommand) error {
	content, err := s.read(c.Args.File)
	if err != nil {
		return err
	}
	result := &wire.DryRun{}
	path := "/v1/dry-run?file=" + url.QueryEscape(c.Args.File)
	if err := s.call(http.MethodPost, path, content, result); err != nil {
		return err
	}
	if err := s.print(result); err != nil {
		return err
	}
	if !result.GetValid() {
		return failure{code: exitFindings}
	}
	return nil
}
