package config

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

// ParseForwardSettings decodes and checks the settings of a forwarding router in TOML and applies the defaults; file is the name of the input in findings.
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

// checkForward returns the findings about the decoded settings of a forwarding router.
func checkForward(s value.ForwardSettings, p *positions) hoist.Findings {
	if p.incomplete {
		return nil
	}
	r := &reporter{positions: p}
	root := objectCheck{r, entry{}, "instance", s.Name()}
	root.checkPresent("name", s.Name())
	root.checkPresent("datacentre", s.Datacentre())
	root.checkPresent("region", s.Region())
	listen := tableCheck{root, "listen"}
	listen.checkAddress("callers", s.Listen().Callers())
	listen.checkAddress("ready", s.Listen().Ready())
	listen.checkAddress("metrics", s.Listen().Metrics())
	store := tableCheck{root, "store"}
	store.checkAddress("address", s.Store().Address())
	peers := tableCheck{root, "peers"}
	peers.checkAddress("address", s.Peers().Address())
	bounds := tableCheck{root, "bounds"}
	bounds.checkPositive("grace_ms", s.Bounds().GraceMs())
	bounds.checkPositive("revoke_ms", s.Bounds().RevokeMs())
	resources := tableCheck{root, "resources"}
	resources.checkPositive("memory_mib", s.Resources().MemoryMib())
	resources.checkPositive("cores", s.Resources().Cores())
	retries := tableCheck{root, "retries"}
	if n := s.Retries().Permille(); n < 0 || n > 1000 {
		retries.report("permille", "must be between 0 and 1000, not %d", n)
	}
	return r.findings
}

// checkPositive reports a number that is not above zero.
func (t tableCheck) checkPositive(key string, n int64) {
	if n <= 0 {
		t.report(key, "must be above 0, not %d", n)
	}
}
