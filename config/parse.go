package config

import (
	"github.com/cespare/xxhash/v2"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

// Digest returns the digest of a snapshot's canonical content, as returned by Format, or of a part of it.
func Digest(content []byte) uint64 { return xxhash.Sum64(content) }

// ParseSnapshot decodes and checks a snapshot in TOML; file is the name of the input in findings.
//
// It returns all findings at once, in the order of their positions. The running time is
// linear in the size of the content.
func ParseSnapshot(file string, content []byte) (value.Snapshot, hoist.Findings) {
	m := &wire.Snapshot{}
	p, findings := decode(file, content, m)
	s := wire.SnapshotValue(m)
	findings = append(findings, checkSnapshot(s, p)...)
	if len(findings) > 0 {
		return value.Snapshot{}, findings.Sorted()
	}
	return s, nil
}

// ParseSettings decodes and checks the settings of a router in TOML and applies the defaults; file is the name of the input in findings.
func ParseSettings(file string, content []byte) (value.Settings, hoist.Findings) {
	m := &wire.Settings{}
	p, findings := decode(file, content, m)
	fillDefaults(m.ProtoReflect())
	s := wire.SettingsValue(m)
	findings = append(findings, checkSettings(s, p)...)
	if len(findings) > 0 {
		return value.Settings{}, findings.Sorted()
	}
	return s, nil
}

// LoadView parses a snapshot and returns its view. The version contains the digest of the
// canonical content, so two documents with the same meaning have the same version.
func LoadView(file string, content []byte) (*View, hoist.Findings) {
	s, findings := ParseSnapshot(file, content)
	if len(findings) > 0 {
		return nil, findings
	}
	return NewView(s, Digest(Format(s))), nil
}
