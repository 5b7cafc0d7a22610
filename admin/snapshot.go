package admin

import (
	"context"
	"fmt"
	"net/http"

	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

// snapshotInput is a snapshot in TOML.
type snapshotInput struct {
	File    string `query:"file" doc:"Name of the file in findings" default:"snapshot" maxLength:"256"`
	RawBody []byte `contentType:"application/toml"`
}

// dryRun checks a snapshot as a whole and compares it with the one in force; nothing changes.
func (s *server) dryRun(_ context.Context, in *snapshotInput) (*output[*wire.DryRun], error) {
	view, findings := config.LoadView(in.File, in.RawBody)
	if len(findings) > 0 {
		return reply(wire.DryRunWire(value.DryRun{}.WithFindings(config.FindingInfos(findings))))
	}
	return reply(wire.DryRunWire(compare(s.source.View(), view)))
}

// compare returns the answer to a valid snapshot; the view in force is nil before there is one.
func compare(inForce, offered *config.View) value.DryRun {
	var held config.Version
	var before value.Snapshot
	if inForce != nil {
		held, before = inForce.Version(), inForce.Snapshot
	}
	return value.DryRun{}.
		WithValid(true).
		WithGeneration(offered.Version().Generation).
		WithDigest(fmt.Sprintf("%016x", offered.Version().Digest)).
		WithInForce(held.Generation).
		WithVerdict(verdictOf(config.Resolve(held, offered.Version()))).
		WithChanges(config.Diff(before, offered.Snapshot))
}

// verdictOf returns the verdict for operators.
func verdictOf(v config.Verdict) value.Verdict {
	switch v.(type) {
	case config.Accept:
		return value.VerdictAccept
	case config.Conflict:
		return value.VerdictConflict
	case config.Ignore:
		return value.VerdictIgnore
	}
	return value.VerdictUnspecified
}

// bundle returns the values to publish for a valid snapshot.
func (s *server) bundle(_ context.Context, in *snapshotInput) (*output[*wire.BundleAnswer], error) {
	snapshot, findings := config.ParseSnapshot(in.File, in.RawBody)
	if len(findings) > 0 {
		return nil, newFault(http.StatusUnprocessableEntity, "invalid_snapshot", "the snapshot has findings").withFindings(findings)
	}
	return reply(wire.BundleAnswerWire(value.BundleAnswer{}.
		WithGeneration(snapshot.Generation()).
		WithDigest(fmt.Sprintf("%016x", config.Digest(config.Format(snapshot)))).
		WithValues(config.Bundle(s.key, snapshot, config.MaxValueBytes))))
}
