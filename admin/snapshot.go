package admin

import (
	"context"
	"fmt"
	"net/http"

	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

// snapshotInput is the input of operations that take a snapshot in TOML.
type snapshotInput struct {
	File    string `query:"file" doc:"Name of the file in findings" default:"snapshot" maxLength:"256"`
	RawBody []byte `contentType:"application/toml"`
}

// dryRun checks a snapshot and compares it with the one in force, without applying it.
func (s *server) dryRun(_ context.Context, in *snapshotInput) (*response[*wire.DryRun], error) {
	view, findings := config.LoadView(in.File, in.RawBody)
	if len(findings) > 0 {
		return newResponse(wire.DryRunWire(value.DryRun{}.WithFindings(config.FindingInfos(findings))))
	}
	return newResponse(wire.DryRunWire(dryRunResult(s.router.View(), view)))
}

// dryRunResult returns the result for a valid snapshot; inForce is nil if no configuration is in force.
func dryRunResult(inForce, offered *config.View) value.DryRun {
	var versionInForce config.Version
	var before value.Snapshot
	if inForce != nil {
		versionInForce, before = inForce.Version(), inForce.Snapshot
	}
	return value.DryRun{}.
		WithValid(true).
		WithGeneration(offered.Version().Generation).
		WithDigest(fmt.Sprintf("%016x", offered.Version().Digest)).
		WithInForce(versionInForce.Generation).
		WithVerdict(verdictOf(config.Resolve(versionInForce, offered.Version()))).
		WithChanges(config.Diff(before, offered.Snapshot))
}

// verdictOf converts the verdict to its value in the schema.
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

// bundle returns the values that operators publish for a valid snapshot.
func (s *server) bundle(_ context.Context, in *snapshotInput) (*response[*wire.BundleAnswer], error) {
	snapshot, findings := config.ParseSnapshot(in.File, in.RawBody)
	if len(findings) > 0 {
		return nil, newErrorResponse(http.StatusUnprocessableEntity, "invalid_snapshot", "the snapshot has findings").withFindings(findings)
	}
	return newResponse(wire.BundleAnswerWire(value.BundleAnswer{}.
		WithGeneration(snapshot.Generation()).
		WithDigest(fmt.Sprintf("%016x", config.Digest(config.Format(snapshot)))).
		WithValues(config.Bundle(s.key, snapshot, config.MaxValueBytes))))
}
