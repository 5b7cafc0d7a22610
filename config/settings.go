package config

import (
	"net/netip"
	"net/url"

	"google.golang.org/protobuf/reflect/protoreflect"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

// fillDefaults sets every field below the message that has a default and is at zero.
func fillDefaults(m protoreflect.Message) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		n, ok := wire.Defaults[string(f.FullName())]
		switch {
		case f.IsList():
		case f.Message() != nil:
			fillDefaults(m.Mutable(f).Message())
		case ok && !m.Has(f) && f.Kind() == protoreflect.DoubleKind:
			m.Set(f, protoreflect.ValueOfFloat64(float64(n)))
		case ok && !m.Has(f):
			m.Set(f, protoreflect.ValueOfInt64(n))
		}
	}
}

// checkSettings returns the findings of decoded settings.
func checkSettings(s value.Settings, p *places) hoist.Findings {
	if p.broken {
		return nil
	}
	r := &report{places: p}
	root := subject{r, spot{}, "instance", s.Name()}
	root.require("name", s.Name())
	root.require("region", s.Region())
	root.require("datacentre", s.Datacentre())
	listen := section{root, "listen"}
	listen.address("callers", s.Listen().Callers())
	listen.address("admin", s.Listen().Admin())
	listen.address("peers", s.Listen().Peers())
	if s.Listen().Advertise() != "" {
		listen.address("advertise", s.Listen().Advertise())
	}
	platform := section{root, "platform"}
	platform.written("key", s.Platform().Key())
	platform.baseURL("url", s.Platform().Url())
	timing := section{root, "timing"}
	if s.Timing().SuspectMs() <= s.Timing().HeartbeatMs() {
		timing.fault("suspect_ms", "must be above heartbeat_ms, or every peer counts as failed")
	}
	collect(r, "operator", "operators", s.Operators())
	each(r, "operator", "operators", s.Operators(), func(b subject, o value.Operator) { b.sha("sha256", o.Sha256()) })
	return r.findings
}

// section is one table of the settings in findings.
type section struct {
	subject
	table string
}

// fault reports a finding about one key of the table.
func (t section) fault(key, format string, args ...any) {
	b := t.subject
	b.spot = b.key(b.key(b.spot, t.table), key)
	b.at(b.spot, "%q "+format, append([]any{t.table + "." + key}, args...)...)
}

// written reports a missing key and returns whether it is there.
func (t section) written(key, text string) bool {
	if text == "" {
		t.fault(key, "is missing")
	}
	return text != ""
}

// address reports a text that is not IP:port.
func (t section) address(key, text string) {
	if !t.written(key, text) {
		return
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		t.fault(key, "must be an IP address and port such as 127.0.0.1:8080, not %q", text)
	}
}

// baseURL reports a text that is not an HTTP URL.
func (t section) baseURL(key, text string) {
	if !t.written(key, text) {
		return
	}
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		t.fault(key, "must be an HTTP URL, not %q", text)
	}
}
