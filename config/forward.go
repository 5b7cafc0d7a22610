package config

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

// ParseForwardSettings decodes and checks the settings of a forwarding router and applies the defaults; file names the input in findings.
func ParseForwardSettings(file string, content []byte) (value.ForwardSettings, hoist.Findings) {
	m := &wire.ForwardSettings{}
	p, findings := decode(file, content, m)
	fillDefaults(m.ProtoReflect())
	s := wire.ForwardSettingsValue(m)
	findings = append(findings, checkForward(s, p)...)
	if len(findings) > 0 {
		return value.ForwardSettings{}, findings.Sorted()
	}
	return s, nil
}

// checkForward returns the findings of decoded settings.
func checkForward(s value.ForwardSettings, p *places) hoist.Findings {
	if p.broken {
		return nil
	}
	r := &report{places: p}
	root := subject{r, spot{}, "instance", s.Name()}
	root.require("name", s.Name())
	root.require("datacentre", s.Datacentre())
	root.require("region", s.Region())
	listen := section{root, "listen"}
	listen.address("callers", s.Listen().Callers())
	listen.address("ready", s.Listen().Ready())
	listen.address("metrics", s.Listen().Metrics())
	store := section{root, "store"}
	store.address("address", s.Store().Address())
	peers := section{root, "peers"}
	peers.address("address", s.Peers().Address())
	bounds := section{root, "bounds"}
	bounds.positive("grace_ms", s.Bounds().GraceMs())
	bounds.positive("revoke_ms", s.Bounds().RevokeMs())
	resources := section{root, "resources"}
	resources.positive("memory_mib", s.Resources().MemoryMib())
	resources.positive("cores", s.Resources().Cores())
	retries := section{root, "retries"}
	if n := s.Retries().Permille(); n < 0 || n > 1000 {
		retries.fault("permille", "must be between 0 and 1000, not %d", n)
	}
	return r.findings
}

// positive reports a number that is not above zero.
func (t section) positive(key string, n int64) {
	if n <= 0 {
		t.fault(key, "must be above 0, not %d", n)
	}
}
