package config

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// FindingInfos converts findings to values of the schema.
func FindingInfos(findings hoist.Findings) value.List[value.FindingInfo] {
	infos := make([]value.FindingInfo, 0, len(findings))
	for _, f := range findings {
		infos = append(infos, value.FindingInfo{}.
			WithFile(f.File).
			WithLine(int32(f.Line)).
			WithColumn(int32(f.Column)).
			WithMessage(f.Message))
	}
	return value.ListOf(infos...)
}
