package config

import (
	"net/netip"
	"net/url"

	"google.golang.org/protobuf/reflect/protoreflect"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

// fillDefaults sets each field of the message and of its inner messages that is zero and has a default.
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

// checkSettings returns the findings about decoded settings.
func checkSettings(s value.Settings, p *positions) hoist.Findings {
	if p.incomplete {
		return nil
	}
	r := &reporter{positions: p}
	root := objectCheck{r, entry{}, "instance", s.Name()}
	root.checkPresent("name", s.Name())
	root.checkPresent("region", s.Region())
	root.checkPresent("datacentre", s.Datacentre())
	listen := tableCheck{root, "listen"}
	listen.checkAddress("callers", s.Listen().Callers())
	listen.checkAddress("admin", s.Listen().Admin())
	listen.checkAddress("peers", s.Listen().Peers())
	if s.Listen().Advertise() != "" {
		listen.checkAddress("advertise", s.Listen().Advertise())
	}
	platform := tableCheck{root, "platform"}
	platform.checkPresent("key", s.Platform().Key())
	platform.checkURL("url", s.Platform().Url())
	timing := tableCheck{root, "timing"}
	if s.Timing().SuspectMs() <= s.Timing().HeartbeatMs() {
		timing.report("suspect_ms", "must be above heartbeat_ms, or every peer counts as failed")
	}
	indexNames(r, "operator", "operators", s.Operators())
	forEach(r, "operator", "operators", s.Operators(), func(b objectCheck, o value.Operator) { b.checkHash("sha256", o.Sha256()) })
	return r.findings
}

// tableCheck checks one table of the settings and reports findings under its dotted keys.
type tableCheck struct {
	objectCheck
	table string
}

// report adds a finding about one key of the table.
func (t tableCheck) report(key, format string, args ...any) {
	b := t.objectCheck
	b.entry = b.key(b.key(b.entry, t.table), key)
	b.reportAt(b.entry, "%q "+format, append([]any{t.table + "." + key}, args...)...)
}

// checkPresent reports a missing key and returns whether the key is set.
func (t tableCheck) checkPresent(key, text string) bool {
	if text == "" {
		t.report(key, "is missing")
	}
	return text != ""
}

// checkAddress reports a missing key or a value that is not of the form IP:port.
func (t tableCheck) checkAddress(key, text string) {
	if !t.checkPresent(key, text) {
		return
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		t.report(key, "must be an IP address and port such as 127.0.0.1:8080, not %q", text)
	}
}

// checkURL reports a missing key or a value that is not an HTTP URL.
func (t tableCheck) checkURL(key, text string) {
	if !t.checkPresent(key, text) {
		return
	}
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		t.report(key, "must be an HTTP URL, not %q", text)
	}
}
