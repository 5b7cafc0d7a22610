package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/standin/load"
)

const (
	engines        = 12
	engineSlots    = 6
	routers        = 3
	model          = "hearth-7b"
	enginePool     = "hearth"
	servicePool    = "dispatch"
	serviceName    = "dispatch"
	region         = "central"
	operatorSecret = "demo-operator-secret"
)

// callers are the callers of the demo: three that request completions and one that calls the plain service.
var callers = []load.Caller{
	{Class: "guidance", Secret: "demo-guidance", FirstTokenTarget: 690, Weight: 5},
	{Class: "triage", Secret: "demo-triage", FirstTokenTarget: 2 * hoist.Second, Weight: 3},
	{Class: "digest", Secret: "demo-digest", FirstTokenTarget: 10 * hoist.Second, OutputTokens: 200, Weight: 1},
	{Class: "booking", Secret: "demo-booking", FirstTokenTarget: 2 * hoist.Second, Weight: 1, Service: serviceName},
}

// secretHash returns the SHA-256 of a secret in hexadecimal, which is the form that the configuration contains.
func secretHash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// snapshotTOML returns the published configuration in TOML.
func snapshotTOML(generation int) string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "generation = %d\n", generation)
	for i, t := range []string{"live", "asked", "batch"} {
		_, _ = fmt.Fprintf(&b, "\n[[tiers]]\nname = %q\nrank = %d\n", t, i+1)
	}
	tiers := []string{"live", "asked", "batch", "asked"}
	for i, c := range callers {
		_, _ = fmt.Fprintf(&b, "\n[[classes]]\nname = %q\ntier = %q\nfirst_token_ms = %d\ninter_token_ms = 100\n"+
			"floor_permille = 50\nbatch = %t\nmax_wait_ms = 20000\n", c.Class, tiers[i], c.FirstTokenTarget, tiers[i] == "batch")
	}
	b.WriteString("\n[[workspaces]]\nname = \"north\"\ndetailed = true\n")
	for _, c := range callers {
		_, _ = fmt.Fprintf(&b, "\n[[credentials]]\nname = %q\nworkspace = \"north\"\nclass = %q\nsha256 = %q\n",
			c.Class, c.Class, secretHash(c.Secret))
	}
	_, _ = fmt.Fprintf(&b, "\n[[pools]]\nname = %q\nkind = \"engine\"\nmodels = [%q]\nslots = %d\nlong_cap = 3\n"+
		"reserved_slots = 1\nfenced = true\nfence = 1\nrole = \"mixed\"\ntokens_per_second = 100\n", enginePool, model, engineSlots)
	_, _ = fmt.Fprintf(&b, "\n[[pools]]\nname = %q\nkind = \"service\"\nslots = 32\n", servicePool)
	_, _ = fmt.Fprintf(&b, "\n[[models]]\nname = %q\nversion = \"1\"\nweight_mib = 100\n", model)
	_, _ = fmt.Fprintf(&b, "\n[[services]]\nname = %q\npool = %q\ntimeout_ms = 5000\n", serviceName, servicePool)
	b.WriteString("\n[policy]\nlong_after_tokens = 100\nretry_budget_permille = 100\n")
	return b.String()
}

// settingsTOML returns the settings of a router in TOML.
func (f *fleet) settingsTOML(r router) string {
	return fmt.Sprintf("name = %q\nregion = %q\ndatacentre = %q\n\n[listen]\ncallers = %q\nadmin = %q\npeers = %q\n\n"+
		"[platform]\nurl = %q\nkey = \"hoist\"\n\n[timing]\ndrain_ms = 20000\n\n[[operators]]\nname = \"demo\"\nsha256 = %q\n",
		r.name, region, r.datacentre, r.callers, r.admin, r.peers, "http://"+f.platform, secretHash(operatorSecret))
}
