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
	findings = append(findings, checkForward(wire.ForwardSettingsValue(m), p)...)
	if len(findings) > 0 {
		return value.ForwardSettings{}, findings.Sorted()
	}
	fillDefaults(m.ProtoReflect())
	return wire.ForwardSettingsValue(m), nil
}

// checkForward returns the findings about the decoded settings of a forwarding router, before defaults are applied.
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
	bounds.checkPositive("grace_s", s.Bounds().GraceS())
	bounds.checkPositive("revoke_ms", s.Bounds().RevokeMs())
	indexNames(r, "data centre", "datacentres", s.Datacentres())
	forEach(r, "data centre", "datacentres", s.Datacentres(), func(b objectCheck, d value.ForwardDatacentre) { b.checkPresent("region", d.Region()) })
	resources := tableCheck{root, "resources"}
	resources.checkPositive("memory_mib", s.Resources().MemoryMib())
	resources.checkPositive("cores", s.Resources().Cores())
	resources.checkPositive("core_share", s.Resources().CoreShare())
	resources.checkPositive("link_mbps", s.Resources().LinkMbps())
	resources.checkPositive("descriptors", s.Resources().Descriptors())
	clients := tableCheck{root, "clients"}
	clients.checkPositive("body_mib", s.Clients().BodyMib())
	clients.checkPositive("address_mib", s.Clients().AddressMib())
	clients.checkPositive("body_rate", s.Clients().BodyRate())
	clients.checkPositive("body_grace_ms", s.Clients().BodyGraceMs())
	clients.checkPositive("connections", s.Clients().Connections())
	clients.checkPositive("unread_ms", s.Clients().UnreadMs())
	return r.findings
}

// checkPositive reports a number of the document that is not above zero; a key without a value gets its default.
func (t tableCheck) checkPositive(key string, n float64) {
	if n <= 0 && t.written(t.key(t.entry, t.table), key) {
		t.report(key, "must be above 0, not %g", n)
	}
}
